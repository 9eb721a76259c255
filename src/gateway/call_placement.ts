/**
 * Places one request: tracks where it was sent, and decides its next step.
 *
 * @module
 */

import { digest64 } from "../base/mod.ts";
import {
  computeEndGapMs,
  hasRoom,
  type PlacementCriteria,
  type ServiceConfig,
  type Step,
  urgencyRank,
} from "../routing/mod.ts";
import type { QuotaUse } from "../quota/mod.ts";
import { countQuotaUnits } from "../workspaces/mod.ts";
import type { CallInput } from "./call_input.ts";
import { CallOrigin } from "./call_origin.ts";
import type { CallRecord } from "./call_record.ts";
import type { GatewayContext } from "./context.ts";
import {
  isHomeRegion,
  type PlacementRequest,
  type QueueFields,
} from "./local_placement.ts";
import type { PlacedStep } from "./placer.ts";
import type { CountedBy } from "./quotas.ts";
import type { LinkedCandidate } from "./upstream_link.ts";

/** Returns what a request uses of its workspace's quota. */
function quotaUseOf({ caller, head }: CallInput): QuotaUse | undefined {
  const { workspace } = caller;
  if (!workspace?.quota) return undefined;
  const tokens = head.promptTokens + head.outputTokens;
  return {
    workspace: workspace.name,
    units: countQuotaUnits(workspace.quota, tokens),
  };
}

/**
 * Returns what the order of a lead's queue needs of a request; `undefined` if it does not wait there: callers compete by
 * rule only where workspaces have limits, and plain services answer sooner than a queue would pay.
 */
function queueFieldsOf(
  { caller, config, head, route }: CallInput,
  { engine }: ServiceConfig,
): QueueFields | undefined {
  if (!engine || !config.workspaces.hasLimits) return undefined;
  const workspace = caller.workspace?.name ?? "";
  const ownPart = head.promptParts.at(-1);
  const { priority } = caller;
  const outputTokens = head.expectedOutputTokens;
  if (!ownPart) return { workspace, priority, outputTokens };
  const fingerprint = digest64([workspace, route.name, ownPart.id]);
  return { workspace, priority, outputTokens, fingerprint };
}

const CANNOT_RESUME: Step<LinkedCandidate> = {
  type: "refuse",
  reason: "cannotResume",
  comeBackMs: 0,
  here: 0,
  resting: 0,
  elsewhere: [],
};

/** Places one request, and tracks the upstreams and regions that it was sent to. */
export class CallPlacement {
  readonly #context: GatewayContext;
  readonly #input: CallInput;
  readonly #service: ServiceConfig;
  readonly #record: CallRecord;
  /** Whether upstreams crashed as the request began to run. */
  isSuspect = false;
  /** Which version began the stream, if it is one. */
  readonly origin: CallOrigin;
  #hasResolvedOrigin = false;
  #request: PlacementRequest;
  #countedUse: { readonly use: QuotaUse; readonly by: CountedBy } | undefined;
  #leaveQueue: (() => void) | undefined;
  #hasLeft = false;
  readonly #tried = new Set<string>();
  readonly #triedRegions = new Set<string>();

  constructor(
    context: GatewayContext,
    input: CallInput,
    service: ServiceConfig,
    arrivedMs: number,
    record: CallRecord,
  ) {
    this.#context = context;
    this.#input = input;
    this.#service = service;
    this.#record = record;
    this.origin = new CallOrigin(context, input, service, record);
    const { route, head, config, caller, deadlineMonoMs, relayed } = input;
    const { engine } = service;
    this.#request = {
      service,
      config,
      prompt: { parts: head.promptParts, tokens: head.promptTokens },
      objectiveMs: route.objectiveMs,
      eventGapMs: route.eventGapMs,
      endGapMs: engine
        ? computeEndGapMs(
          route.timeoutMs,
          head.outputTokens / engine.tokensPerEvent,
        )
        : Infinity,
      arrivedMs,
      deadlineMs: deadlineMonoMs,
      tried: this.#tried,
      triedRegions: this.#triedRegions,
      homeRegions: caller.homeRegions,
      isRelayed: relayed,
      isSuspect: false,
      quota: relayed ? undefined : quotaUseOf(input),
      version: input.version,
      queue: context.settings.queueAtLead
        ? queueFieldsOf(input, service)
        : undefined,
    };
  }

  /** The only version of an upstream's software that the request may run at; `undefined` if it may run at any. */
  get version(): string | undefined {
    return this.#request.version;
  }

  set version(version: string | undefined) {
    this.#request = { ...this.#request, version };
  }

  /**
   * Lets an answer that has events go on only at the version that began it. Returns `false` if that version is not
   * known.
   */
  keepVersion(): boolean {
    const onlyVersion = this.#context.origins.onlyVersion(this.#service.name);
    this.version ??= this.#record.run.versionToGoOn(onlyVersion);
    if (this.version === undefined) {
      this.#record.run.noteNotContinued(undefined);
    }
    return this.version !== undefined;
  }

  /** Notes that the request is sent to an upstream, which does not get it a second time. */
  noteTried({ key }: LinkedCandidate): void {
    this.#tried.add(key);
  }

  /** Notes that the request is relayed to a region. */
  noteTriedRegion(region: string): void {
    this.#triedRegions.add(region);
  }

  /** Makes a region eligible again that did not receive the request. */
  forgetTriedRegion(region: string): void {
    this.#triedRegions.delete(region);
  }

  /** Decides the next step of the request. Its first send is charged to its workspace's quota. */
  async place(): Promise<PlacedStep> {
    if (!await this.#resolveOrigin()) {
      return { step: CANNOT_RESUME, settle: () => {} };
    }
    this.#request = { ...this.#request, isSuspect: this.isSuspect };
    this.#avoidRestarted();
    // Not once it is placed: requests that wait there count at no upstream, and all would get the same one.
    await this.origin.waitUntilRecorded();
    const placed = await this.#placeOrQueue();
    this.#noteVersionGone(placed.step);
    const { quota: use } = this.#request;
    if (placed.countedBy && use) {
      this.#record.noteQuota(use, placed.countedBy);
      if (placed.step.type === "refuse") return placed;
      this.#countedUse = { use, by: placed.countedBy };
      this.#request = { ...this.#request, quota: undefined };
    }
    return placed;
  }

  /** Asks for a place; while the request is queued, {@link CallPlacement.leaveQueue} gives that up. */
  async #placeOrQueue(): Promise<PlacedStep> {
    const { clock, placer } = this.#context;
    // What goes on at one version, or may crash its upstream, has few places: it is not compared with other requests.
    const mayQueue = !this.isSuspect && this.version === undefined;
    const request = mayQueue
      ? this.#request
      : { ...this.#request, queue: undefined };
    let queuedMs: number | undefined;
    const placed = await placer.place(request, {
      onQueued: (leave) => {
        if (this.#hasLeft) return leave();
        queuedMs = clock.monoMs();
        this.#leaveQueue = leave;
        this.#noteQueued();
      },
    });
    this.#leaveQueue = undefined;
    if (queuedMs !== undefined) {
      this.#record.noteQueued(clock.monoMs() - queuedMs);
    }
    return placed;
  }

  #noteQueued(): void {
    const { queue } = this.#request;
    if (!queue || queue.wasQueued) return;
    this.#request = { ...this.#request, queue: { ...queue, wasQueued: true } };
  }

  /** Gives up the request's place in the queue of its lead, also one that it gets later. */
  leaveQueue(): void {
    this.#hasLeft = true;
    this.#leaveQueue?.();
  }

  /** Binds a stream that its caller takes up again to the version that began it; `false` if it can't go on. */
  async #resolveOrigin(): Promise<boolean> {
    if (this.#hasResolvedOrigin || !this.origin.isResumed) return true;
    this.#hasResolvedOrigin = true;
    const verdict = await this.origin.resolve();
    if (verdict.type === "refused") return false;
    this.version = verdict.version;
    return true;
  }

  /**
   * Keeps a request that is bound to a version from upstreams that have restarted or may have, possibly with another one.
   * Some don't tell when they were started; those that do are asked before the request is sent.
   */
  #avoidRestarted(): void {
    if (this.version === undefined) return;
    for (const key of this.#context.losses.recentlyGone()) this.#tried.add(key);
  }

  #noteVersionGone(step: Step<LinkedCandidate>): void {
    if (this.version === undefined || step.type !== "refuse") return;
    if (step.here > 0 || step.elsewhere.length > 0) return;
    this.#record.run.noteNotContinued(this.version);
  }

  /** Refunds the quota of a request that has not run and never will. */
  refundQuota(): void {
    if (!this.#countedUse) return;
    this.#context.quotas.refund(this.#countedUse.use, this.#countedUse.by);
    this.#countedUse = undefined;
  }

  /** Returns the next step, decided from this VM's own state, without charging or executing it. */
  nextLocally(): Step<LinkedCandidate> {
    return this.#context.placer.placeLocally(this.#request);
  }

  #placementCriteria(): PlacementCriteria {
    return {
      ...this.#request,
      pace: this.#context.upstreams.paceOf(this.#service),
    };
  }

  /**
   * Returns the request's rank in an engine's admission order, if the engine has to read `promptTokens` of its prompt.
   */
  urgency(promptTokens: number): number {
    const { clock, upstreams } = this.#context;
    return urgencyRank({
      waitedMs: clock.monoMs() - this.#request.arrivedMs,
      objectiveMs: this.#input.route.objectiveMs,
      readMs: upstreams.paceOf(this.#service).readMs(promptTokens),
    });
  }

  /** Whether a region may serve, cache and hold the request. */
  readonly isHomeRegion = (region: string): boolean =>
    isHomeRegion(this.#request, region);

  /**
   * Whether an upstream of this region has room for a retry. Otherwise an upstream's own error is passed on: the
   * caller's next attempt is served sooner than a relayed retry, and the error is the true answer.
   */
  hasRoomHere(): boolean {
    const step = this.nextLocally();
    return step.type === "send" &&
      hasRoom(step.candidate, this.#placementCriteria());
  }

  /** Returns the other upstreams of this region and of the same version, for a stream that runs at one. */
  candidatesExcept(candidate: LinkedCandidate): LinkedCandidate[] {
    const { version } = candidate.upstream;
    return this.#context.upstreams.candidates(this.#service).filter((
      { key, restLeftMs, upstream },
    ) =>
      key !== candidate.key && restLeftMs === 0 && upstream.version === version
    );
  }
}
