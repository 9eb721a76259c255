/**
 * The embedded gateway: a daemon with a stand-in platform, a stand-in engine and a stand-in plain service in one process.
 * It is for trying the gateway out and not for production.
 *
 * @module
 */

import { EtcdKeyValue } from "../adapters/mod.ts";
import { type TableRow, tableRow } from "../agreement/mod.ts";
import { Random, secretDigest, systemClock } from "../base/mod.ts";
import { Kernel, openLog } from "../kernel/mod.ts";
import { TableEditor, TableService } from "../services/mod.ts";
import { openEngine, openPlainService, openPlatform } from "../standins/mod.ts";
import { type Daemon, openDaemon } from "./daemon.ts";
import { checkSettings, type Settings } from "./settings.ts";

/** The caller's API key of the embedded gateway. */
export const EMBEDDED_KEY = "try-ibisgap";
/** The operator's token of the embedded gateway. */
export const EMBEDDED_TOKEN = "operate-ibisgap";

const REGION = "local";
const SEED_TIMEOUT_MS = 10_000;

/** A running embedded gateway with its stand-ins. */
export interface EmbeddedGateway {
  readonly daemon: Daemon;
  close(): Promise<void>;
}

/** Starts the gateway and its stand-ins. Callers connect to `port`; 0 takes any free port. */
export async function openEmbedded(
  port: number,
  stop: () => void = () => {},
): Promise<EmbeddedGateway> {
  const platform = await openPlatform();
  const engine = await openEngine({ model: "demo" });
  const plain = await openPlainService({ name: "ledger" });
  await seedTable(platform.url, embeddedRows(engine.url, plain.url));
  const daemon = await openDaemon(embeddedSettings(port, platform.url), stop);
  const close = async () => {
    await daemon.close();
    for (const part of [engine, plain, platform]) await part.close();
  };
  return { daemon, close };
}

function embeddedSettings(port: number, storeUrl: string): Settings {
  const settings = checkSettings({
    vm: { id: "local-1", region: REGION, failureDomain: "local-a" },
    listen: { callers: { port }, peers: { port: 0 } },
    platform: { storeUrls: [storeUrl] },
    peers: { credential: "embedded-only" },
    operators: { tokenDigests: [secretDigest(EMBEDDED_TOKEN)] },
  });
  return settings._unsafeUnwrap();
}

function embeddedRows(engineUrl: string, plainUrl: string): TableRow[] {
  const upstreamFields = {
    kind: "upstream",
    region: REGION,
    failureDomain: "local-a",
  };
  return [
    { kind: "region", id: REGION },
    { kind: "service", id: "demo", type: "model" },
    { kind: "service", id: "ledger", type: "plain", atMostOnce: true },
    {
      kind: "workspace",
      id: "guests",
      home: REGION,
      keyDigests: [secretDigest(EMBEDDED_KEY)],
    },
    { ...upstreamFields, id: "engine-1", service: "demo", url: engineUrl },
    { ...upstreamFields, id: "ledger-1", service: "ledger", url: plainUrl },
  ].map((row) => tableRow.parse(row));
}

/** Applies `rows` to the table in a store, as `ibisgap table apply` does. */
export async function seedTable(
  storeUrl: string,
  rows: readonly TableRow[],
): Promise<void> {
  const kernel = new Kernel(systemClock, openLog("silent"));
  const store = new EtcdKeyValue({ urls: [storeUrl], vmId: "seed" });
  const random = new Random(1);
  const service = new TableService({
    vm: { id: "seed", region: REGION },
    store,
    random,
  });
  await kernel.start(service);
  const editor = new TableEditor({
    service,
    vmId: "seed",
    clock: systemClock,
    random,
  });
  const deadlineMs = systemClock.nowMs() + SEED_TIMEOUT_MS;
  const applied = await editor.apply({
    rows,
    author: "seed",
    dryRun: false,
    deadlineMs,
  });
  await kernel.close(deadlineMs);
  await store.close();
  if (applied.isErr()) {
    throw new Error(
      `the table was not accepted: ${JSON.stringify(applied.error)}`,
    );
  }
}
