/**
 * A lab whose upstreams are replaced by a process of another version, under the same id and at the same address, while
 * the store still has the entry of the process before.
 *
 * @module
 */

import { randomBytes } from "node:crypto";
import type { ExecutionContext } from "ava";
import { formatStream, makeRoute, type Runner } from "../src/standins/mod.ts";
import {
  type CallerAnswer,
  GatewayLab,
  type LabVm,
  ROUTES,
} from "./gateway_lab.ts";

/** Streams of one test. */
export const STREAMS = 20;
export const EVENTS = 10;
const FIRST_EVENTS = 3;
const EVENT_GAP_MS = 5;
const DOWN_MS = 60;
const WAIT_HEADERS = { "deadline-ms": "10000" };
/** Paths of streams that break off with their upstream, and of those that go on elsewhere. */
const SINGLE_PATH = "/streamagain/x";
const CONTINUED_PATH = "/streamon/x";

/** A stream over all tries of its caller. */
export interface TriedStream {
  /** The id of its first try. */
  readonly id: string;
  readonly answers: readonly CallerAnswer[];
}

/** Options of {@link ReplacedLab.open}. */
export interface ReplacedLabOptions {
  readonly vmRegions?: readonly string[];
  readonly upstreamRegions?: readonly string[];
  /** Whether upstreams tell in their entries when they were started. */
  readonly hasBorn?: boolean;
  readonly report?: Runner["report"];
}

function versionsIn({ answers }: TriedStream): Set<string> {
  const text = answers.filter(({ status }) => status === 200)
    .map(({ body }) => body).join("");
  return new Set([...text.matchAll(/ by (\S+)/g)].map(([, by]) => by));
}

/** Counts the streams that hold events of more than one version. */
export function countJoined(streams: readonly TriedStream[]): number {
  return streams.filter((stream) => versionsIn(stream).size > 1).length;
}

/** Counts the streams whose tries together have all events of one version, each once. */
export function countWhole(streams: readonly TriedStream[]): number {
  return streams.filter((stream) => {
    const [version] = versionsIn(stream);
    const text = stream.answers.map(({ body }) => body).join("");
    return text === formatStream(0, EVENTS, version);
  }).length;
}

/** A lab of two upstreams of version `v1`. */
export class ReplacedLab extends GatewayLab {
  /** Opens a VM in each of `vmRegions`, and an upstream in each of `upstreamRegions`. */
  static async open(
    t: ExecutionContext,
    {
      vmRegions = ["north"],
      upstreamRegions = ["north", "north"],
      hasBorn = true,
      report = "served",
    }: ReplacedLabOptions = {},
  ): Promise<ReplacedLab> {
    const lab = new ReplacedLab();
    t.teardown(() => lab.close());
    const route = {
      kind: "streaming",
      resumable: true,
      timeout_ms: 10_000,
      slo_ms: 5_000,
    };
    lab.configure([
      ...ROUTES,
      makeRoute({ ...route, path_prefix: "/streamagain/", max_attempts: 1 }),
      makeRoute({ ...route, path_prefix: "/streamon/", max_attempts: 4 }),
    ]);
    for (const region of upstreamRegions) {
      const runner = await lab.addUpstream(
        region,
        hasBorn ? {} : { born: undefined },
      );
      runner.report = report;
    }
    for (const region of vmRegions) {
      await lab.waitUntilReady(await lab.addVm(region));
    }
    await lab.waitUntilAllKnown();
    lab.serveWhole();
    return lab;
  }

  /** Adds an upstream of version `v1`. */
  async addUpstream(
    region = "north",
    fields: Record<string, unknown> = {},
  ): Promise<Runner> {
    const runner = await this.addRunner(
      region,
      { slots: 64, version: "v1", ...fields },
    );
    runner.version = "v1";
    runner.downMs = DOWN_MS;
    return runner;
  }

  /** Replaces an upstream by one of another version, and returns once it serves. The store is not told. */
  async replace(runner: Runner, version: string): Promise<void> {
    const isBack = new Promise<void>((resolve) => {
      runner.onRestart = () => {
        runner.version = version;
        resolve();
      };
    });
    runner.crash();
    await isBack;
  }

  /** Lets streams of all upstreams run to their end. */
  serveWhole(eventGapMs = EVENT_GAP_MS): void {
    for (const runner of this.runners) {
      runner.behavior = "well";
      runner.streamEvents = EVENTS;
      runner.eventGapMs = eventGapMs;
    }
  }

  /** Begins streams that break off after some events. */
  async begin(
    vms: readonly LabVm[],
    count = STREAMS,
  ): Promise<TriedStream[]> {
    for (const runner of this.runners) {
      runner.behavior = "halfStream";
      runner.streamEvents = 2 * FIRST_EVENTS;
    }
    const begun = await Promise.all(
      Array.from({ length: count }, async (_, index) => {
        const id = randomBytes(8).toString("hex");
        const vm = vms[index % vms.length];
        return { id, answers: [await this.#call(vm, SINGLE_PATH, id)] };
      }),
    );
    this.serveWhole();
    return begun;
  }

  /** Begins streams that go on at another upstream when they break off. They end later. */
  run(vms: readonly LabVm[], count = STREAMS): Promise<TriedStream>[] {
    return Array.from({ length: count }, async (_, index) => {
      const id = randomBytes(8).toString("hex");
      const vm = vms[index % vms.length];
      return { id, answers: [await this.#call(vm, CONTINUED_PATH, id)] };
    });
  }

  /** Takes streams up again where they broke off. */
  takeUp(
    vms: readonly LabVm[],
    streams: readonly TriedStream[],
  ): Promise<TriedStream[]> {
    return Promise.all(streams.map(async ({ id, answers }, index) => {
      const text = answers.map(({ body }) => body).join("");
      const lastEvent = text.split("\n\n").length - 1;
      const answer = await this.#call(
        vms[index % vms.length],
        SINGLE_PATH,
        randomBytes(8).toString("hex"),
        { resumes: id, "last-event-id": String(lastEvent) },
      );
      return { id, answers: [...answers, answer] };
    }));
  }

  #call(
    vm: LabVm,
    path: string,
    id: string,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<CallerAnswer> {
    return this.call(vm, {
      path,
      method: "POST",
      headers: { ...WAIT_HEADERS, "attempt-id": id, ...headers },
    });
  }
}
