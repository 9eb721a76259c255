/**
 * A lab whose upstreams have versions, and callers that take up again streams that broke off.
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
  waitUntil,
} from "./gateway_lab.ts";

/** Streams of one test. */
export const STREAMS = 20;
/** Events that a stream brings before it breaks off. */
export const FIRST_EVENTS = 3;
export const SECOND_EVENTS = 2;
export const ALL_EVENTS = 10;
const EVENT_GAP_MS = 5;
/** Gap of streams that still run when something else has happened. */
export const SLOW_GAP_MS = 700;
export const STREAM: { readonly path: string; readonly method: string } = {
  path: "/streamagain/x",
  method: "POST",
};
export const NOT_RUN = 503;
/** Long enough for twenty streams at once in a process beside other work. */
export const WAIT_HEADERS = { "deadline-ms": "10000" };

const TWO_VERSIONS = ["v1", "v1", "v1.2", "v1.2"];

/** What callers got who took up their streams again. */
export interface Resumption {
  /** The ids of all tries of each stream, the first one first. */
  readonly tries: readonly (readonly string[])[];
  readonly answers: readonly CallerAnswer[];
}

/** A lab whose upstreams have versions. */
export class ResumptionLab extends GatewayLab {
  readonly #versions = new Map<string, string>();
  /** All upstreams, also those that have ended. */
  readonly #allRunners: Runner[] = [];

  /** Opens a VM in each of the regions, and in each region an upstream of each version. */
  static async open(
    t: ExecutionContext,
    vmRegions: readonly string[],
    versions: readonly (string | undefined)[] = TWO_VERSIONS,
    upstreamRegions: readonly string[] = vmRegions,
  ): Promise<ResumptionLab> {
    const lab = new ResumptionLab();
    t.teardown(() => lab.close());
    lab.configure([
      ...ROUTES,
      makeRoute({
        path_prefix: "/streamagain/",
        kind: "streaming",
        resumable: true,
        max_attempts: 1,
        timeout_ms: 10_000,
        slo_ms: 5_000,
      }),
    ]);
    for (const region of new Set(upstreamRegions)) {
      for (const version of versions) await lab.addVersion(region, version);
    }
    for (const region of vmRegions) await lab.startVm(region);
    await lab.waitUntilAllKnown();
    return lab;
  }

  async addVersion(
    region: string,
    version?: string,
    service = "s",
  ): Promise<void> {
    const runner = await this.addRunner(
      region,
      { slots: 64, service, ...(version === undefined ? {} : { version }) },
    );
    this.#versions.set(runner.id, version ?? "none");
    this.#allRunners.push(runner);
  }

  async startVm(region = "north"): Promise<LabVm> {
    const vm = await this.addVm(region);
    await this.waitUntilReady(vm);
    return vm;
  }

  /** Makes the entry of an upstream name another version, and waits until the VMs know. */
  async rename(runner: Runner, version: string): Promise<void> {
    this.register(runner, "north", { slots: 64, version });
    await waitUntil(() =>
      this.vms.every(({ gateway }) => {
        const { fleet } = gateway.dump().beliefs as {
          fleet: { upstreams: { id: string; version: string }[] };
        };
        return fleet.upstreams.some((known) =>
          known.id === runner.id && known.version === version
        );
      })
    );
  }

  /** Ends the upstreams of a version, with their entries. */
  async endVersion(version: string): Promise<void> {
    for (const runner of this.runners.splice(0)) {
      if (this.#versions.get(runner.id) !== version) {
        this.runners.push(runner);
        continue;
      }
      this.store.remove(`servers/${runner.id}`);
      await runner.close();
    }
    await waitUntil(() =>
      this.vms.every(({ gateway }) => {
        const { fleet } = gateway.dump().beliefs as {
          fleet: { upstreams: unknown[] };
        };
        return fleet.upstreams.length === this.runners.length;
      })
    );
  }

  /** Ends all VMs at once; returns what starts them again, with the same identities. */
  async endAllVms(): Promise<() => Promise<void>> {
    const ended = [...this.vms];
    await Promise.all(ended.map((vm) => this.closeVm(vm)));
    this.dropConnections();
    return async () => {
      await Promise.all(ended.map((vm) => this.startAgain(vm)));
      for (const vm of this.vms) await this.waitUntilReady(vm);
      await this.waitUntilAllKnown();
    };
  }

  /** Begins streams that break off after some events. Returns their ids. */
  async begin(
    vms: readonly LabVm[],
    makeId = () => randomBytes(8).toString("hex"),
    eventGapMs?: number,
  ): Promise<string[]> {
    this.#breakAfter(FIRST_EVENTS, eventGapMs);
    const ids = Array.from({ length: STREAMS }, makeId);
    await Promise.all(ids.map(async (id, index) => {
      const answer = await this.call(vms[index % vms.length], {
        ...STREAM,
        headers: { ...WAIT_HEADERS, "attempt-id": id },
      });
      if (answer.body !== formatStream(0, FIRST_EVENTS)) {
        throw new Error(`${id}: ${answer.status} ${answer.body}`);
      }
    }));
    return ids;
  }

  /** Takes streams up again after `lastEvent`; `breakAfter` as the last event of this try. */
  async takeUp(
    vms: readonly LabVm[],
    before: readonly (readonly string[])[],
    {
      lastEvent = FIRST_EVENTS,
      breakAfter = ALL_EVENTS,
      resumes = (tries: readonly string[]): string | undefined => tries[0],
    } = {},
  ): Promise<Resumption> {
    this.#breakAfter(breakAfter);
    const tries = before.map((ids) => [...ids, randomBytes(8).toString("hex")]);
    const answers = await Promise.all(tries.map((ids, index) => {
      const named = resumes(ids);
      return this.call(vms[index % vms.length], {
        ...STREAM,
        headers: {
          ...WAIT_HEADERS,
          "attempt-id": ids.at(-1) as string,
          "last-event-id": String(lastEvent),
          ...(named === undefined ? {} : { resumes: named }),
        },
      });
    }));
    return { tries, answers };
  }

  /** Counts the streams that hold events of more than one version. */
  countMixed(tries: readonly (readonly string[])[]): number {
    const versions = new Map<string, string>();
    for (const runner of this.#allRunners) {
      for (const { headers } of runner.arrivals) {
        versions.set(
          String(headers["attempt-id"]),
          this.#versions.get(runner.id) as string,
        );
      }
    }
    return tries.filter((ids) =>
      new Set(ids.flatMap((id) => versions.get(id) ?? [])).size > 1
    ).length;
  }

  #breakAfter(event: number, eventGapMs = EVENT_GAP_MS): void {
    for (const runner of this.runners) {
      runner.behavior = event === ALL_EVENTS ? "well" : "halfStream";
      runner.streamEvents = event === ALL_EVENTS ? ALL_EVENTS : 2 * event;
      runner.eventGapMs = eventGapMs;
    }
  }
}

export function countWhole(
  { answers }: Resumption,
  lastEvent = FIRST_EVENTS,
): number {
  const rest = formatStream(lastEvent, ALL_EVENTS);
  return answers.filter(({ body, isComplete }) => isComplete && body === rest)
    .length;
}

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Whether a VM has heard of another region. */
export function knowsOtherRegion(vm: LabVm): boolean {
  const { regions } = vm.gateway.dump().members as { regions: unknown[] };
  return regions.length > 0;
}
