/**
 * The gateway's daemon on the users' platform: one process on every VM.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { systemClock } from "../base/mod.ts";
import { Kernel } from "../kernel/mod.ts";
import { PlatformKeyValue, SETTINGS_VARIABLE } from "../platform/mod.ts";
import { Beliefs } from "./beliefs.ts";
import { GatewayContext } from "./context.ts";
import { Directory } from "./directory.ts";
import { Front } from "./front.ts";
import { LineLog, standardOutput } from "./line_log.ts";
import { hostPort } from "./listen.ts";
import { Members } from "./members.ts";
import { GatewayMetrics } from "./metrics.ts";
import { PeerRpc } from "./peer_rpc.ts";
import { Relays } from "./relays.ts";
import { regionRoom } from "./room.ts";
import { type GatewaySettings, parseGatewaySettings } from "./settings.ts";
import { drain } from "./stop.ts";
import { Upstreams } from "./upstreams.ts";

const USAGE_EXIT = 2;

function readSettings(): GatewaySettings {
  const path = process.argv[2] ?? process.env[SETTINGS_VARIABLE];
  if (!path) refuse([`name a settings file, or set ${SETTINGS_VARIABLE}`]);
  let text: string;
  try {
    text = readFileSync(path, "utf8");
  } catch (error) {
    refuse([(error as Error).message]);
  }
  const settings = parseGatewaySettings(text);
  if (settings.isErr()) {
    refuse(
      settings.error.map(({ field, message }) =>
        `${path}: ${field}: ${message}`
      ),
    );
  }
  return settings.value;
}

function refuse(lines: readonly string[]): never {
  for (const line of lines) process.stderr.write(`ibisgap-gateway: ${line}\n`);
  process.exit(USAGE_EXIT);
}

/** Starts the services in order; the listeners of callers come last. */
async function main(): Promise<void> {
  const settings = readSettings();
  const { vm } = settings;
  const clock = systemClock;
  const log = new LineLog(standardOutput(), { vm: vm.id }, () => clock.nowMs());
  log.info("starting", {
    region: vm.region,
    failureDomain: vm.failureDomain,
    ip: vm.ip,
  });
  const kernel = new Kernel(clock, log);
  const store = new PlatformKeyValue(settings.store.address);
  const beliefs = new Beliefs({
    store,
    failureDomains: settings.failureDomains,
  });
  const members: Members = new Members({
    self: {
      id: vm.id,
      ip: vm.ip,
      region: vm.region,
      failureDomain: vm.failureDomain,
      bornMs: clock.nowMs(),
    },
    store,
    leastLeaseMs: settings.store.leastLeaseMs,
    port: settings.listen.beats,
    seedIps: settings.seeds.map((address) => hostPort(address).host),
    describe: (sameRegion) => ({
      ready: directory.isReady,
      leaving: context.isLeaving,
      configVersion: beliefs.config?.version ?? 0,
      revisions: beliefs.revisions,
      ...(sameRegion ? { load: upstreams.load() } : {
        room: regionRoom(
          beliefs.config,
          (service) => upstreams.candidates(service),
        ),
      }),
    }),
  });
  const upstreams = new Upstreams(beliefs.fleet, members, vm);
  const relays = new Relays(
    members,
    vm.region,
    hostPort(settings.listen.peers).port,
  );
  const context = new GatewayContext({
    settings,
    clock,
    log,
    beliefs,
    members,
    upstreams,
    relays,
    metrics: new GatewayMetrics(),
  });
  const directory = new Directory(context);
  const peerRpc = new PeerRpc(beliefs, members, relays);
  const front = new Front(context, peerRpc);
  for (
    const task of [
      beliefs,
      upstreams,
      members,
      relays,
      peerRpc,
      front,
      directory,
    ]
  ) {
    await kernel.start(task);
  }
  log.info("started", { tookMs: Math.round(performance.now()) });

  let stopping = false;
  const stop = async () => {
    if (stopping) return;
    stopping = true;
    await drain(context, front, clock, log);
    await Promise.race([kernel.close(clock.nowMs()), clock.sleep(200)]);
    process.exit(0);
  };
  process.on("SIGTERM", () => void stop());
  process.on("SIGINT", () => void stop());
  process.on("SIGHUP", () => log.info("settings changed"));
}

await main();
