import { createSocket } from "node:dgram";
import type { ExecutionContext } from "ava";
import fc from "fast-check";
import { describe, it } from "../src/base/describe.ts";
import { sleep } from "./cluster.ts";
import { dumpMembers, type GatewayLab, openRegion } from "./gateway_lab.ts";
import { encodeOdd, ODD_VALUES, spoil } from "./odd_values.ts";

const SEED = 7_7;
const RUNS = 3_000;
/** Datagrams after which the VMs get time to take them, so that none is dropped. */
const BURST = 50;

const copy = { rev: 5, digest: "a" };
const copies = { operators: copy, upstreams: copy };
const vm = {
  id: "vm-9",
  ip: "127.0.0.9",
  region: "north",
  failureDomain: "north-a",
  bornMs: 1,
  cores: 1,
};
const lead = { ...vm, isServed: true, mayLead: true };
const state = {
  ready: true,
  servesMs: 500,
  copies,
  isServed: true,
  configVersion: 3,
  restoredAgoMs: 100,
  configAgeMs: 100,
  leavingUpstreams: ["i-1@0"],
};
const load = { "i-1@0": [1, 10] };
const held = [["p", "i-1@0"]];
const south = { ...vm, id: "vm-8", region: "south" };
const digest = {
  from: south,
  everyMs: 500,
  leads: [south],
  ready: ["127.0.0.8"],
  vms: 3,
  copies,
  configVersion: 3,
  restoredAgoMs: 100,
  room: { s: { free: 1, queue: 2, isRecovering: true } },
  held,
  yours: [vm],
  isAhead: true,
};
const quota = { workspace: "w", units: 1 };

/** One sound message for each method. */
const SOUND: Readonly<Record<string, unknown>> = {
  report: {
    ...vm,
    ...state,
    load,
    asked: 3,
    everyMs: 500,
    rosterNeed: "partial",
    held,
  },
  load: { id: "vm-9", load, asked: 3, seen: [["i-1@0", "failed"]], held },
  roster: {
    ...state,
    from: vm,
    everyMs: 500,
    isPartial: true,
    leads: [lead],
    heardLeads: ["vm-9"],
    vms: 3,
    named: { ready: ["127.0.0.9"], leaving: [["127.0.0.7", 500]] },
    load,
    regions: [{ ...digest, ageMs: 10 }],
  },
  digest,
  place: {
    question: 1,
    from: "vm-9",
    service: "s",
    parts: [["p", 10]],
    promptTokens: 10,
    objectiveMs: 500,
    eventGapMs: 10,
    endGapMs: 100,
    waitedMs: 1,
    leftMs: 500,
    tried: ["i-2@0"],
    lost: ["i-2@0"],
    resting: [["i-2@0", 10]],
    triedRegions: ["south"],
    homeRegions: ["north"],
    isRelayed: false,
    isSuspect: true,
    quota,
    version: "v1",
    workspace: "w",
    priority: 1,
    outputTokens: 10,
    fingerprint: "f",
    wasQueued: true,
  },
  placed: {
    question: 1,
    verdict: {
      type: "send",
      upstreamKey: "i-1@0",
      grant: {
        running: 1,
        waitingTokens: 1,
        unreadTokens: 1,
        fetchFrom: "127.0.0.1:1",
      },
      counted: true,
      quotaLeft: 2,
    },
  },
  renew: { from: "vm-9", questions: [1, 2] },
  renewed: { unknown: [1, 2] },
  unplace: { question: 1, from: "vm-9" },
  shares: {
    region: "south",
    rows: [["w", 1, 0.5, 10, 5]],
    isComplete: true,
    asks: ["w"],
  },
  standby: { rows: [["w", { north: 1 }, { north: 1 }, 2, 3]] },
  unused: quota,
  localUse: { uses: [quota] },
  handover: { rows: [["w", { north: 1 }, { north: 1 }, 2, 3]], unusedMs: 10 },
  began: [["v1", "0123456789abcdef"], [null, "0123456789abcdef"]],
  whoBegan: { question: 1, service: "s", key: "0123456789abcdef" },
  beganBy: {
    question: 1,
    version: "v1",
    ageMs: 1,
    isAmbiguous: true,
    seen: ["v1"],
    knowsAll: true,
  },
  ends: { region: "north", rows: [["d", "i-1@0", 10, false]] },
};

const spoiled = fc.record({
  method: fc.constantFrom(...Object.keys(SOUND)),
  path: fc.array(fc.nat(30), { maxLength: 5 }),
  odd: fc.constantFrom(...ODD_VALUES),
  isRemoved: fc.boolean(),
}).map(({ method, path, odd, isRemoved }) => ({
  method,
  params: spoil(SOUND[method], path, odd, isRemoved),
}));

const oddEnvelope = fc.constantFrom(...ODD_VALUES).chain((odd) =>
  fc.constantFrom<unknown>(
    odd,
    { method: odd },
    { method: odd, params: odd },
    { method: "report", params: odd },
    { params: odd },
  )
);

/** Sends messages to all VMs of a lab. */
async function flood(
  t: ExecutionContext,
  lab: GatewayLab,
  messages: readonly unknown[],
): Promise<void> {
  const socket = createSocket("udp4");
  t.teardown(() => void socket.close());
  const { beats: port } = lab.vms[0].settings.listen;
  for (const [i, message] of messages.entries()) {
    const datagram = Buffer.from(encodeOdd(message));
    for (const { settings } of lab.vms) {
      await new Promise((resolve) =>
        socket.send(datagram, port, settings.vm.ip, resolve)
      );
    }
    if (i % BURST === 0) await sleep(1);
  }
}

function internalErrors(lab: GatewayLab): unknown[] {
  return lab.vms.flatMap(({ log }) =>
    log.lines.filter(({ event }) => event.includes("internal error"))
      .map(({ fields }) => [
        fields.method,
        String(fields.reason).split("\n").slice(0, 4).join(" "),
      ])
  );
}

/** Guards against a datagram that ends the processes that it reaches, or spoils what they know. */
describe("gateway, odd datagrams", () => {
  for (
    const [name, messages] of [
      ["with a spoiled field", spoiled],
      ["with a spoiled envelope", oddEnvelope],
    ] as const
  ) {
    it(`${name} end no VM, and the next sound ones are taken`, async (t) => {
      const lab = await openRegion(t, 2);
      await flood(
        t,
        lab,
        fc.sample<unknown>(messages, { seed: SEED, numRuns: RUNS }),
      );
      t.deepEqual([...new Set(internalErrors(lab).map(String))].sort(), []);
      for (const each of lab.vms) {
        const answer = await lab.call(each, { path: "/once/", method: "POST" });
        t.is(answer.status, 200);
        t.true(dumpMembers(each).vms >= lab.vms.length);
      }
    });
  }
});
