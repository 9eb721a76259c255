// One tenant asks for three times its limit all the time, at three machines of one region. All that ran of the tenant in
// any 8 s is held against the rule's bound.
import { get, request } from "node:http";
import { NotRun, runCase, sleep } from "./lab.mjs";

/** Limit of the tenant, as on the page of messages of the deployment with tenants: tokens a second, and burst. */
const RATE = 1_251_499;
const BURST = 1_251_499;
const QUOTA = { windowMs: 8_000, excess: 0.1, slack: 72_000 };
/** Tokens in and out of one request: a prompt of 9,190 tokens and 54 tokens out. */
const TOKENS = [9_190, 54];
const UNITS = TOKENS[0] + TOKENS[1];
const ASKED_PER_S = 3 * RATE / UNITS;
const KEY = "jbvk9m68k7b2ex5wa5xw";
const HOST = "ficu95.example";

/**
 * Runs the case and ends the process. `disrupt` gets the lab and the machine that counts the tenant's use, 0.8 s after the
 * tenant begins to ask; its requests go on for 8 s after that.
 */
export const runQuotaCase = (recordPath, disrupt) => runCase(recordPath, async (lab) => {
  await lab.startStore();
  const servers = await lab.startTalker("servers_main.mjs", ["3", "20"]);
  const zones = { "casa-hall-a": "casablanca" };
  await lab.prepareMachines(["casa-hall-a", "casa-hall-a", "casa-hall-a"], zones, {
    quotaExcess: QUOTA.excess,
    quotaSlack: QUOTA.slack,
    quotaWindowMs: QUOTA.windowMs,
  });
  const config = {
    version: 7,
    routes: [{
      name: "r-1", host: HOST, path_prefix: "/pule252/", kind: "unsafe", timeout_ms: 5000, slo_ms: 549, priority: 1,
      service: "huvo11a", max_attempts: 1, anonymous: false, sticky: false, resumable: false, home_regions: [],
    }],
    services: [{ name: "huvo11a", health_path: "/health", max_conns: 700, protocol: "h1", tls: false, cold_s: 0, cold_rate_s: 0 }],
    limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
    tenants: [{
      name: "huka270", api_keys: [KEY], priority: 1, unit: "tokens", plain_tokens: 200, rate_per_s: RATE, burst: BURST,
      home_regions: [],
    }],
  };
  await lab.store.ask({ put: ["op/config", config] });
  const beat = async (seq) => {
    for (const { id, address } of servers.first.servers) {
      await lab.store.ask({ put: [`servers/${id}`, {
        service: "huvo11a", address, zone: "casa-hall-a", version: "v1", slots: 128, state: "ready", cold_left_ms: 0, seq,
      }] });
    }
  };
  await beat(1);
  let seq = 1;
  let isBeating = false;
  setInterval(async () => {
    if (isBeating) return;
    isBeating = true;
    await beat(++seq);
    isBeating = false;
  }, 1_200).unref();
  for (const machine of lab.machines) lab.startMachine(machine);
  for (const machine of lab.machines) await lab.waitReady(machine);
  // Traffic starts 12 s after the machines do.
  await sleep(12_000);
  const counting = lab.machines.map((machine) => ({ machine, leads: leadsIn(lab.logOf(machine)) }));
  const first = counting[0].leads[0];
  if (!first || counting.some(({ leads }) => leads[0] !== first)) throw new NotRun("the machines don't agree on who leads");
  const lead = lab.machines.find(({ id }) => id === first);
  lab.note(`machines agree that ${lead.id} leads the region`);

  const sent = new Map();
  const answers = new Map();
  const agents = new Map(lab.machines.map(({ id }) => [id, lab.newAgent()]));
  let count = 0;
  const send = (machine) => {
    const attempt = `a${(++count).toString(16).padStart(15, "0")}`;
    sent.set(attempt, { atMs: Date.now(), machine: machine.id });
    const done = (what) => answers.set(attempt, what);
    const call = request({
      agent: agents.get(machine.id), host: machine.ip, port: lab.callersPort, method: "POST", path: "/pule252/2f",
      headers: {
        Host: HOST, "Attempt-Id": attempt, Authorization: `Bearer ${KEY}`, "Token-Counts": TOKENS.join(), "Deadline-Ms": "8096",
        "Content-Length": "0",
      },
    }, (answer) => {
      answer.resume();
      answer.on("end", () => done(String(answer.statusCode)));
    });
    call.on("error", (error) => done(error.message));
    // Clients give up after their deadline.
    const giveUp = setTimeout(() => call.destroy(new Error("deadline")), 8_096);
    call.on("close", () => clearTimeout(giveUp));
    call.end();
  };
  lab.note(`the tenant asks for ${Math.round(ASKED_PER_S)} requests of ${UNITS} tokens a second`);
  // Clients use the machines that the directory names, and ask it anew each second, as its answers say.
  let used = lab.machines;
  const asking = setInterval(async () => used = await lookUp(lab) ?? used, 1_000);
  const startMs = Date.now();
  let given = 0;
  const clients = setInterval(() => {
    const due = (Date.now() - startMs) / 1000 * ASKED_PER_S;
    for (; given < due; given++) send(used[given % used.length]);
  }, 5);
  await sleep(800);
  await disrupt(lab, lead);
  await sleep(8_000);
  clearInterval(clients);
  clearInterval(asking);
  await sleep(1_000);
  const { runs } = await servers.ask({ runs: true });

  const bound = (RATE * QUOTA.windowMs / 1000 + BURST) * (1 + QUOTA.excess) + QUOTA.slack;
  const worst = worstWindow(runs, sent);
  const byStatus = {};
  for (const what of answers.values()) byStatus[what] = (byStatus[what] ?? 0) + 1;
  lab.note(`sent ${sent.size}, answers ${JSON.stringify(byStatus)}, runs ${runs.length}`);
  for (let s = 0; s < 15; s++) {
    const from = startMs + s * 1000;
    const ran = runs.filter(([, , atMs]) => atMs >= from && atMs < from + 1000);
    const by = {};
    for (const [attempt] of ran) {
      const { machine } = sent.get(attempt);
      by[machine] = (by[machine] ?? 0) + 1;
    }
    lab.note(`second ${s}: ${ran.length} runs, ${(ran.length * UNITS / RATE).toFixed(2)} x the limit, by machine ${JSON.stringify(by)}`);
  }
  lab.note(`most tokens of runs that were sent and arrived within 8 s: ${worst.units} from ${lab.secondsAt(worst.fromMs)} s; allowed ${Math.round(bound)}`);
  lab.noteAll(["", "runs: attempt, sent at s, machine, ran at s, server, answer"]);
  lab.noteAll(runs.map(([attempt, id, atMs]) => {
    const { atMs: sentMs, machine } = sent.get(attempt);
    return `${attempt} ${lab.secondsAt(sentMs)} ${machine} ${lab.secondsAt(atMs)} ${id} ${answers.get(attempt) ?? "none"}`;
  }));
  return worst.units > bound
    ? [`QUOTA: ${worst.units} tokens in 8 s, ${Math.round(bound)} are allowed (${(worst.units / bound).toFixed(3)} of it)`]
    : [];
});

/** The machines that the directory names; `undefined` if no machine answers. */
async function lookUp(lab) {
  for (const { ip } of lab.machines) {
    const text = await new Promise((resolve) => {
      const call = get({
        agent: false, host: ip, port: lab.directoryPort, timeout: 1_000,
        path: `/api/lookup?name=${HOST}&region=casablanca&zone=casa-hall-a`,
      }, async (answer) => {
        let body = "";
        for await (const chunk of answer) body += chunk;
        resolve(answer.statusCode === 200 ? body : undefined);
      });
      call.on("timeout", () => call.destroy());
      call.on("error", () => resolve(undefined));
    });
    const addresses = text ? JSON.parse(text).addresses : [];
    const named = lab.machines.filter((machine) => addresses.includes(`${machine.ip}:${lab.callersPort}`));
    if (named.length > 0) return named;
  }
  return undefined;
}

/** The leads by the last line of a machine's log that names them. */
function leadsIn(log) {
  const lines = log.split("\n").filter((line) => line.includes('"leads":"') || / leads=/.test(line));
  const last = lines.at(-1) ?? "";
  const found = /"leads":"([^"]*)"/.exec(last) ?? / leads="?([^" ]*)/.exec(last);
  return (found?.[1] ?? "").split(",").filter(Boolean);
}

function worstWindow(runs, sent) {
  const points = runs.map(([attempt, , atMs]) => ({ sentMs: sent.get(attempt).atMs, atMs }));
  let worst = { units: 0, fromMs: 0 };
  for (const { sentMs: fromMs } of points) {
    const inside = points.filter((point) => point.sentMs >= fromMs && point.atMs < fromMs + QUOTA.windowMs).length;
    if (inside * UNITS > worst.units) worst = { units: inside * UNITS, fromMs };
  }
  return worst;
}
