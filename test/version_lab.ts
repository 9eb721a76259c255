/**
 * A lab whose upstreams run several versions of their software, and what its callers' streams hold of them.
 *
 * @module
 */

import type { ExecutionContext } from "ava";
import { formatStream, makeRoute, type Runner } from "../src/standins/mod.ts";
import {
  type CallerAnswer,
  type CallerRequest,
  GatewayLab,
  type LabVm,
  openRegion,
  ROUTES,
  waitUntil,
} from "./gateway_lab.ts";

/** Events of a whole stream; a runner that breaks streams off does so after half of them. */
export const EVENTS = 6;
/** Streams of one test. */
export const STREAMS = 24;

/** The route of the streams: resumable, and often enough for two breaks. */
export const STREAM_ROUTE = makeRoute({
  path_prefix: "/streamon/",
  kind: "streaming",
  resumable: true,
  timeout_ms: 6_000,
  max_attempts: 4,
});

/** The routes of the lab. */
export const VERSION_ROUTES = [...ROUTES, STREAM_ROUTE];

/** A stream and what its caller got. */
export interface HeldStream {
  readonly id: string;
  readonly answer: CallerAnswer;
  /** When the answer was over, on the monotonic clock. */
  readonly endMonoMs: number;
  /** The versions that its events came from. */
  readonly versions: ReadonlySet<string>;
  /** Whether it has all events, each once, and says so. */
  readonly isWhole: boolean;
}

/** Since when an upstream has a version, on the monotonic clock. */
interface VersionStart {
  readonly version: string;
  readonly sinceMonoMs: number;
}

/** An upstream that gave a stream events. */
interface EventSource {
  readonly version: string;
  readonly afterEvent: number;
  readonly arrivedMonoMs: number;
}

let streamCount = 0;

/** Upstreams of several versions, and the streams that callers got from them. */
export class Versions {
  readonly lab: GatewayLab;
  /** The versions of each upstream, by id, the latest last. */
  readonly #versionsOf = new Map<string, VersionStart[]>();

  constructor(lab: GatewayLab) {
    this.lab = lab;
  }

  /** Adds an upstream; `undefined` for an entry without a version. */
  async add(
    version: unknown,
    region = "north",
    fields: Record<string, unknown> = {},
  ): Promise<Runner> {
    const entry = version === undefined ? fields : { ...fields, version };
    const runner = await this.lab.addRunner(region, entry);
    runner.streamEvents = EVENTS;
    this.#versionsOf.set(runner.id, [
      { version: String(version ?? ""), sinceMonoMs: -Infinity },
    ]);
    return runner;
  }

  /** Adds one upstream of each version that breaks its streams off, and one that does not. */
  async addPairs(versions: readonly unknown[]): Promise<Runner[]> {
    const breaking: Runner[] = [];
    for (const version of versions) {
      const runner = await this.add(version);
      runner.behavior = "halfStream";
      breaking.push(runner);
      await this.add(version);
    }
    return breaking;
  }

  /** Lets an upstream come back from its next crash with another version. `hasBorn`: its entry tells its start. */
  changeAtRestart(runner: Runner, version: string, hasBorn: boolean): void {
    runner.onRestart = () => {
      const sinceMonoMs = performance.now();
      this.#versionsOf.get(runner.id)!.push({ version, sinceMonoMs });
      this.lab.register(runner, "north", {
        version,
        born: hasBorn ? runner.bornMs : undefined,
      });
    };
  }

  /** Waits until all VMs know all upstreams. */
  async waitUntilKnown(): Promise<void> {
    for (const vm of this.lab.vms) await this.lab.waitUntilReady(vm);
  }

  /** Begins streams at each VM in turn. They end later. */
  begin(
    vms: readonly LabVm[],
    count = STREAMS,
    input: Partial<CallerRequest> = {},
  ): Promise<HeldStream>[] {
    return Array.from(
      { length: count },
      (_, index) => this.#call(vms[index % vms.length], input),
    );
  }

  /** Begins streams and waits until all have ended. */
  run(vms: readonly LabVm[], count = STREAMS): Promise<HeldStream[]> {
    return Promise.all(this.begin(vms, count));
  }

  /** How many streams run at an upstream. */
  countRunning({ arrivals }: Runner): number {
    return arrivals.filter(({ target }) => target === "/streamon/x").length;
  }

  async #call(
    vm: LabVm,
    input: Partial<CallerRequest>,
  ): Promise<HeldStream> {
    const id = `stream-${++streamCount}`;
    const answer = await this.lab.call(vm, {
      path: "/streamon/x",
      method: "POST",
      ...input,
      headers: { "attempt-id": id, "deadline-ms": "6000", ...input.headers },
    });
    const endMonoMs = performance.now();
    const isWhole = answer.isComplete &&
      answer.body === formatStream(0, EVENTS);
    const versions = this.#versionsIn(id, answer.body);
    return { id, answer, endMonoMs, versions, isWhole };
  }

  #versionsIn(id: string, body: string): Set<string> {
    const sources = this.#sourcesOf(id);
    const lastEvent = body.split("\n\n").length - 1;
    return new Set(
      sources.filter(({ afterEvent }, index) =>
        (sources[index + 1]?.afterEvent ?? lastEvent) > afterEvent
      ).map(({ version }) => version),
    );
  }

  #sourcesOf(id: string): EventSource[] {
    const sources = this.lab.runners.flatMap((runner) =>
      runner.arrivals.filter(({ headers }) => headers["attempt-id"] === id)
        .map(({ headers, arrivedMonoMs }) => ({
          version: this.#versionsOf.get(runner.id)!
            .findLast(({ sinceMonoMs }) => sinceMonoMs <= arrivedMonoMs)!
            .version,
          afterEvent: Number(headers["last-event-id"] ?? 0),
          arrivedMonoMs,
        }))
    );
    return sources.sort((a, b) => a.arrivedMonoMs - b.arrivedMonoMs);
  }
}

/** Opens one VM, or a region whose lead places its VMs' requests, with no upstreams yet. */
export async function openVersions(
  t: ExecutionContext,
  vms: "one VM" | "six VMs",
): Promise<Versions> {
  if (vms === "six VMs") {
    const lab = await openRegion(t, 0);
    lab.configure(VERSION_ROUTES);
    await waitUntilConfigured(lab);
    return new Versions(lab);
  }
  const lab = new GatewayLab();
  t.teardown(() => lab.close());
  lab.configure(VERSION_ROUTES);
  await lab.waitUntilReady(await lab.addVm());
  return new Versions(lab);
}

/** Waits until all VMs have the configuration that was written last. */
export function waitUntilConfigured(lab: GatewayLab): Promise<void> {
  return waitUntil(() =>
    lab.vms.every(({ gateway }) => {
      const { configVersion } = gateway.dump().beliefs as {
        configVersion?: number;
      };
      return configVersion === lab.configVersion;
    })
  );
}

/** Waits until all VMs know that an upstream has a version. */
export function waitUntilVersion(
  { vms }: GatewayLab,
  runner: Runner,
  version: string,
): Promise<void> {
  return waitUntil(() =>
    vms.every(({ gateway }) => {
      const { fleet } = gateway.dump().beliefs as {
        fleet: { upstreams: { id: string; version: string }[] };
      };
      return fleet.upstreams.some((known) =>
        known.id === runner.id && known.version === version
      );
    })
  );
}

/** Counts the streams that hold events of more than one version. */
export function countMixed(streams: readonly HeldStream[]): number {
  return streams.filter(({ versions }) => versions.size > 1).length;
}

/** Checks that no stream holds two versions, and that all are whole. */
export function checkAllGoOn(
  t: ExecutionContext,
  streams: readonly HeldStream[],
): void {
  const mixed = countMixed(streams);
  const whole = streams.filter(({ isWhole }) => isWhole).length;
  t.is(mixed, 0, `${mixed} of ${streams.length} hold two versions`);
  t.is(whole, streams.length, "whole");
}
