import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { threadId } from "node:worker_threads";
import type { ExecutionContext } from "ava";
import { describe, it } from "../src/base/describe.ts";
import type { GatewaySettings } from "../src/gateway/mod.ts";
import { KvServer } from "../src/standins/mod.ts";
import { sleep, TestProcess } from "./cluster.ts";

const GRACE_MS = 1_500;
/** Node.js options by which a process sends itself SIGTERM as soon as it notes SIGHUP. */
const STOPS_WHILE_LOADING = [
  "--import",
  `data:text/javascript,
   const until = setInterval(() => {
     if (process.listenerCount("SIGHUP") === 0) return;
     clearInterval(until);
     process.kill(process.pid, "SIGTERM");
   }, 1);`,
];

let count = 0;

/** A gateway's process and the settings file that it reads. */
interface StartingVm {
  readonly proc: TestProcess;
  readonly settings: GatewaySettings;
  writeSettings(settings: GatewaySettings): void;
}

/** Starts the program of a gateway on an address of its own. */
async function startVm(
  t: ExecutionContext,
  nodeOptions: readonly string[] = [],
  graceMs = GRACE_MS,
): Promise<StartingVm> {
  const store = new KvServer();
  const dir = mkdtempSync(join(tmpdir(), "ibisgap-stop-"));
  const path = join(dir, "vm.json");
  const ip = `127.${20 + threadId % 200}.${process.pid & 255}.${200 + count++}`;
  const settings: GatewaySettings = {
    vm: {
      id: "vm-1",
      ip,
      region: "north",
      failureDomain: "north-a",
      memoryMb: 350,
      mostDescriptors: 4_000,
      coreShare: 1,
      coreSpeed: 1,
    },
    listen: {
      callers: `${ip}:18100`,
      ready: `${ip}:18101`,
      directory: `${ip}:18102`,
      peers: `${ip}:18103`,
      beats: 18104,
      metrics: 18105,
    },
    firstStart: true,
    seeds: [],
    failureDomains: { "north-a": "north" },
    store: {
      address: await store.openAddressFor("vm-1"),
      leastLeaseMs: 1_000,
    },
    bounds: {
      graceMs,
      contactMs: 6_000,
      repeatRatio: 0.2,
      repeatSlack: 50,
      repeatWindowMs: 10_000,
      quotaExcess: 0.1,
      quotaSlack: 1_000,
      quotaWindowMs: 8_000,
    },
  };
  const writeSettings = (changed: GatewaySettings) =>
    writeFileSync(path, JSON.stringify(changed));
  writeSettings(settings);
  const proc = new TestProcess(
    "early-stop",
    "src/gateway/main.js",
    [path],
    nodeOptions,
  );
  t.teardown(async () => {
    await proc.kill();
    await store.close();
    rmSync(dir, { recursive: true });
  });
  return { proc, settings, writeSettings };
}

/** Sends a request on the first connection that is accepted; returns the answer. */
async function callAtOnce(
  address: string,
  onConnected: () => void,
): Promise<string> {
  const [host, port] = address.split(":");
  for (;;) {
    const answer = await new Promise<string | undefined>((resolve) => {
      let text = "";
      const socket = connect(Number(port), host, () => {
        socket.write("GET / HTTP/1.1\r\nhost: nobody.example\r\n\r\n");
        onConnected();
      });
      socket.on("data", (chunk) => text += chunk.toString());
      socket.on("error", () => text === "" && resolve(undefined));
      socket.on("close", () => resolve(text));
    });
    if (answer !== undefined) return answer;
    await sleep(1);
  }
}

/** Guards against a planned stop right after the start that ends the process at once, with the requests it has. */
describe("a planned stop while a gateway starts", () => {
  for (const signal of ["SIGTERM", "SIGINT"] as const) {
    it(`drains once the gateway is open: ${signal}`, async (t) => {
      const { proc } = await startVm(t);
      await proc.waitForOutput(/event=starting/);
      proc.signal(signal);
      t.is(await proc.exited, 0);
      t.regex(proc.output, /event=started[^]*event=leaving[^]*event=stopped/);
    });
  }

  it("drains if the signal came before the program was loaded", async (t) => {
    const { proc } = await startVm(t, STOPS_WHILE_LOADING);
    t.is(await proc.exited, 0);
    t.regex(proc.output, /event=started[^]*event=leaving[^]*event=stopped/);
  });

  it("answers a request on the first connection that is accepted", async (t) => {
    const { proc, settings } = await startVm(t);
    const answer = await callAtOnce(
      settings.listen.callers,
      () => proc.signal("SIGTERM"),
    );
    t.regex(answer, /^HTTP\/1.1 [45]\d\d [^]*\r\n\r\n\{.*\}/);
    t.is(await proc.exited, 0);
  });

  it("is not cut short by further signals", async (t) => {
    const { proc } = await startVm(t);
    await proc.waitForOutput(/event=starting/);
    for (const signal of ["SIGTERM", "SIGTERM", "SIGINT"] as const) {
      proc.signal(signal);
      await sleep(10);
    }
    await proc.waitForOutput(/event=leaving/);
    proc.signal("SIGTERM");
    t.is(await proc.exited, 0);
    t.is(proc.output.match(/event=leaving/g)?.length, 1);
  });

  it("takes its time from settings that changed before it", async (t) => {
    const { proc, settings, writeSettings } = await startVm(t, [], 30_000);
    await proc.waitForOutput(/event=starting/);
    writeSettings({
      ...settings,
      bounds: { ...settings.bounds, graceMs: GRACE_MS },
    });
    proc.signal("SIGHUP");
    proc.signal("SIGTERM");
    t.is(await proc.exited, 0);
    const [, tookMs] =
      /event="settings in force"[^]*event=leaving[^]* tookMs=(\d+)/.exec(
        proc.output,
      ) ?? [];
    t.true(Number(tookMs) < GRACE_MS, proc.output);
  });
});
