/**
 * Measures how long a caller waits after a fault until a call is served. The daemons of one region run as processes.
 * `npm run bench -- control_claims_faults [--json] [--runs N]`.
 *
 * @module
 */

import {
  callAdmin,
  callVm,
  Cluster,
  keyOf,
  sleep,
  standardRows,
  upstreamRow,
  type Vm,
} from "../test/cluster.ts";
import type { Bench, Row } from "./row.ts";

const REGION = "agadir";
const MAX_WAIT_MS = 60_000;

/** A fault that affects the shard's owner. */
interface Fault {
  readonly name: string;
  inject(cluster: Cluster, owner: Vm): Promise<void>;
}

const FAULTS: readonly Fault[] = [
  {
    name: "owner killed",
    inject: (_, owner) => Promise.resolve(owner.proc.signal("SIGKILL")),
  },
  {
    name: "owner frozen",
    inject: (_, owner) => Promise.resolve(owner.proc.signal("SIGSTOP")),
  },
  {
    name: "owner stopped in good order",
    inject: (_, owner) => Promise.resolve(owner.proc.signal("SIGTERM")),
  },
  {
    name: "store away",
    inject: (cluster) => cluster.setPlatformFaults([{ outage: "cut" }]),
  },
];

async function findOwner(cluster: Cluster): Promise<Vm> {
  const endMs = Date.now() + MAX_WAIT_MS;
  while (Date.now() < endMs) {
    for (const vm of cluster.vms.values()) {
      const answer = await callAdmin(vm, "GET", "/admin/dump");
      const [shard] = JSON.parse(answer.body).claims.shards;
      if (shard.role === "owner" && shard.witnesses.length === 2) return vm;
    }
    await sleep(100);
  }
  throw new Error("no VM became the shard's owner with two witnesses in time");
}

/** Measures the wait at a VM other than the shard's owner, and how many calls it refused before one was served. */
async function measure(fault: Fault, run: number) {
  const cluster = new Cluster();
  try {
    await cluster.startPlatform();
    const [ledger] = await cluster.startUpstreams(0, 1);
    await cluster.seedTable(standardRows([REGION], [
      upstreamRow("ledger-1", "ledger", REGION, ledger.url),
    ]));
    await cluster.startRegions([REGION], 3);
    const owner = await findOwner(cluster);
    const vm = [...cluster.vms.values()].find((other) => other !== owner)!;
    await fault.inject(cluster, owner);
    const startMs = performance.now();
    let refused = 0;
    while (performance.now() - startMs < MAX_WAIT_MS) {
      const answer = await callVm(vm, keyOf(REGION), "/services/ledger/log", {
        body: { run },
        headers: { "idempotency-key": `run-${run}-${refused}` },
      });
      if (answer.statusCode === 200) break;
      refused++;
      await sleep(100);
    }
    return { waitMs: performance.now() - startMs, refused };
  } finally {
    await cluster.close();
  }
}

/** Runs each fault several times; `--runs N` sets how often. */
export const run: Bench = async (args) => {
  const at = args.indexOf("--runs");
  const runs = at < 0 ? 3 : Number(args[at + 1]);
  const rows: Row[] = [];
  for (const fault of FAULTS) {
    const waitsMs: number[] = [];
    let refused = 0;
    for (let n = 0; n < runs; n++) {
      const sample = await measure(fault, n);
      waitsMs.push(sample.waitMs);
      refused += sample.refused;
    }
    waitsMs.sort((a, b) => a - b);
    const row = (measure: string, value: number, unit: string): Row => ({
      bench: "control_claims_faults",
      case: fault.name,
      policy: "3 VMs",
      measure,
      value: Math.round(value),
      unit,
      seed: 0,
    });
    rows.push(
      row("wait until served, median", waitsMs[waitsMs.length >> 1], "ms"),
      row("wait until served, longest", waitsMs[waitsMs.length - 1], "ms"),
      row("refused before", refused / runs, "calls"),
    );
  }
  return rows;
};
