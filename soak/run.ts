/**
 * One run of the soak: opens a world, sends traffic, injects faults and checks the promises.
 *
 * @module
 */

import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { sleep } from "../test/cluster.ts";
import { MEMORY_MB } from "../test/deployed.ts";
import { Caller, type TakeUps } from "./callers.ts";
import { isFatal } from "./fatal_requests.ts";
import { LongCaller } from "./long_callers.ts";
import { isPartRequest } from "./part_requests.ts";
import { FaultInjector } from "./fault_injector.ts";
import {
  type Arrival,
  type Breach,
  type Evidence,
  Judge,
  type Refusal,
} from "./judge.ts";
import { describeEnd } from "./judge_floods.ts";
import type { Upstream } from "./judge_versions.ts";
import { drawPlan, type ExtraMode, type Fault } from "./plan.ts";
import { type Stall, StallMeter } from "./stall_meter.ts";
import { askVmViews, readStoreView } from "./views.ts";
import { REGIONS } from "./vm_settings.ts";
import { World } from "./world.ts";

/** Settings of a run. */
export interface RunOptions {
  readonly seed: number;
  readonly vms: number;
  readonly runners: number;
  readonly callers: number;
  readonly faultsMs: number;
  /** Whether the plan has only planned work. */
  readonly plannedOnly?: boolean;
  /** Whether the plan has requests that crash upstreams. */
  readonly crashes?: ExtraMode;
  /** Whether the plan has requests with a part of their prompts that crashes upstreams. */
  readonly parts?: ExtraMode;
  /** Whether the plan has lapsing entries, kills of a region and series of evacuations. */
  readonly lapses?: ExtraMode;
  /** Whether upstreams say in answers that they leave or want rest, and the store comes back from older copies. */
  readonly notices?: ExtraMode;
  readonly returns?: ExtraMode;
  /** Whether upstreams' answers end with their connection, early or in a crash. */
  readonly endings?: ExtraMode;
  /** Whether upstreams have several software versions, and callers take streams up again. */
  readonly versions?: ExtraMode;
  /** Whether all VMs are killed at once; upstreams and callers do as with `versions`. */
  readonly fleetKills?: ExtraMode;
  /** Whether VMs are stopped while upstreams keep callers waiting; as many callers more wait longer than a stop takes. */
  readonly stops?: ExtraMode;
  /** Whether callers and upstreams send without end; callers that wait long come, too, and VMs run as they are deployed. */
  readonly floods?: ExtraMode;
  /** Folder for the logs of a run that broke a promise; absent or empty: they are not saved. */
  readonly logFolder?: string;
  /** Changes the evidence before it is checked, to plant a fault that the judge must find. */
  readonly changeEvidence?: (evidence: Evidence) => Evidence;
}

/** Result of a run. */
export interface RunResult {
  readonly seed: number;
  readonly attempts: number;
  readonly served: number;
  readonly faults: number;
  readonly breaches: readonly Breach[];
}

/** Time from the last fault until requests must be served again: entries return within 2.3 s, a stop takes 3 s. */
const RECOVERY_MS = 6_000;
const FINAL_TRAFFIC_MS = 2_500;
/** The id of a request in a VM's log. */
const LOGGED_ID = / attempt=(\S+)/g;
/** Time for work that is still in progress at the end. */
const SETTLE_MS = 300;

function collectArrivals(world: World): Arrival[] {
  return world.instances.flatMap((
    { runner, region, service, drainingSinceMs, leavingSinceMs, goneMs },
  ) =>
    runner.arrivals.map((arrival) => ({
      attemptId: String(arrival.headers["attempt-id"]),
      method: arrival.method,
      target: arrival.target,
      body: arrival.body,
      arrivedMs: arrival.arrivedMonoMs,
      runnerId: runner.id,
      region,
      service,
      drainingSinceMs,
      leavingSinceMs,
      workEndMs: arrival.isIgnored
        ? arrival.arrivedMonoMs
        : arrival.endedMonoMs,
      goneMs,
    }))
  );
}

function collectRefusals(world: World): Refusal[] {
  return world.instances.flatMap(({ runner, region }) =>
    runner.refusals.map(({ attemptId, refusedMonoMs, retryAfter }) => ({
      attemptId,
      refusedMs: refusedMonoMs,
      restMs: (Number(retryAfter) || 0) * 1_000,
      runnerId: runner.id,
      region,
    }))
  );
}

function collectUpstreams(world: World): Upstream[] {
  return world.instances.map((
    { runner, service, startedMs, drainingSinceMs },
  ) => ({
    id: runner.id,
    service,
    version: String(runner.version),
    fromMs: startedMs,
    toMs: drainingSinceMs,
  }));
}

function findLoggedIds(world: World): Set<string> {
  const logs = world.vms.map(({ earlierOutput, proc }) =>
    earlierOutput + proc.output
  );
  return new Set(
    logs.flatMap((log) => [...log.matchAll(LOGGED_ID)].map(([, id]) => id)),
  );
}

function saveRun(
  folder: string,
  world: World,
  plan: readonly Fault[],
  result: RunResult,
  stalls: readonly Stall[],
): void {
  mkdirSync(folder, { recursive: true });
  world.saveLogs(folder);
  writeFileSync(
    join(folder, "run.json"),
    JSON.stringify(
      {
        result,
        plan,
        troubles: world.troubles,
        stops: world.stops,
        stalls,
        processEnds: world.watch.ends,
        memoryPeaks: world.memory.peaks,
        floods: world.floods?.reports,
      },
      null,
      2,
    ),
  );
}

/** While all VMs are down no try is answered; one that has none doesn't count there. */
function chooseTakeUps({ versions, fleetKills }: RunOptions): TakeUps {
  if ((fleetKills ?? "none") !== "none") return "twoAnswers";
  return (versions ?? "none") === "none" ? "none" : "twoTries";
}

function openCallers(
  world: World,
  { callers, seed }: RunOptions,
  takeUps: TakeUps,
): Caller[] {
  return Array.from({ length: callers }, (_, index) => {
    const region = REGIONS[index % REGIONS.length];
    return new Caller(world, region, index, seed, takeUps);
  });
}

/** In each region every other one stays with its VM. */
function openLongCallers(
  world: World,
  { callers, seed }: RunOptions,
): LongCaller[] {
  return Array.from({ length: callers }, (_, index) => {
    const region = REGIONS[index % REGIONS.length];
    const staysWithVm = Math.floor(index / REGIONS.length) % 2 === 0;
    return new LongCaller({ world, region, index, seed, staysWithVm });
  });
}

/** Runs one seed. Throws only if the world cannot be opened. */
export async function runSeed(options: RunOptions): Promise<RunResult> {
  const { seed, vms, runners, faultsMs } = options;
  const domains = REGIONS.length;
  const plan = drawPlan(seed, {
    vms,
    runners,
    domains,
    faultsMs,
    plannedOnly: options.plannedOnly,
    crashes: options.crashes,
    parts: options.parts,
    lapses: options.lapses,
    notices: options.notices,
    returns: options.returns,
    endings: options.endings,
    versions: options.versions,
    fleetKills: options.fleetKills,
    stops: options.stops,
    floods: options.floods,
  });
  const takeUps = chooseTakeUps(options);
  const hasVersions = takeUps !== "none";
  const hasFloods = (options.floods ?? "none") !== "none";
  const hasStops = hasFloods || (options.stops ?? "none") !== "none";
  const world = await World.open({
    vms,
    runners,
    seed,
    hasVersions,
    hasStops,
    hasFloods,
  });
  world.watch.onEnd = (end) =>
    process.stdout.write(`seed=${seed} FAULT ${describeEnd(end)}\n`);
  const meter = new StallMeter();
  try {
    const callers = [
      ...openCallers(world, options, takeUps),
      ...(hasStops ? openLongCallers(world, options) : []),
    ];
    const lastMs = Math.max(faultsMs, ...plan.map((f) => f.atMs + f.forMs));
    const recoveredMs = world.nowMs() + lastMs + RECOVERY_MS;
    const traffic = Promise.all(
      callers.map((caller) => caller.run(recoveredMs + FINAL_TRAFFIC_MS)),
    );
    await new FaultInjector(world, seed).injectAll(plan);
    await traffic;
    await sleep(SETTLE_MS);
    const attempts = callers.flatMap((caller) => caller.attempts);
    const allArrivals = collectArrivals(world);
    const observed: Evidence = {
      attempts,
      arrivals: allArrivals.filter(({ body }) =>
        !isFatal(body) && !isPartRequest(body)
      ),
      partArrivals: allArrivals.filter(({ body }) => isPartRequest(body)),
      partCalls: world.partCalls,
      fatalArrivals: allArrivals.filter(({ body }) => isFatal(body)),
      refusals: collectRefusals(world),
      upstreams: collectUpstreams(world),
      troubles: world.troubles,
      configs: world.configs,
      processFaults: world.processFaults,
      processEnds: world.watch.ends,
      memoryPeaks: world.memory.peaks,
      memoryLimitMb: hasFloods ? MEMORY_MB : Infinity,
      stops: world.stops,
      graceMs: world.graceMs,
      loggedIds: findLoggedIds(world),
      recoveredMs,
      vmViews: await askVmViews(world),
      storeView: readStoreView(world),
    };
    const evidence = options.changeEvidence?.(observed) ?? observed;
    const result = {
      seed,
      attempts: attempts.length,
      served: attempts.filter(({ status, isComplete }) =>
        status === 200 && isComplete
      )
        .length,
      faults: plan.length,
      breaches: new Judge(evidence).breaches(),
    };
    if (result.breaches.length > 0 && options.logFolder) {
      const folder = join(options.logFolder, `seed-${seed}`);
      saveRun(folder, world, plan, result, meter.stalls);
    }
    return result;
  } finally {
    meter.close();
    await world.close();
  }
}
