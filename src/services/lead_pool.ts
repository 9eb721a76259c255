/**
 * A pool that this VM leads. It wraps the decisions of {@link Pool} and adds a record of which entry VM holds which
 * slot, the collection of held slots when this VM starts to lead, and the handover when it stops. Free of I/O.
 *
 * @module
 */

import {
  type AttemptsDigest,
  GRANT_SETTLE_MS,
  GrantIndex,
  type PoolInfo,
  type Table,
} from "../agreement/mod.ts";
import {
  type HeldSlot,
  type LoadReport,
  Pool,
  type PoolOutput,
  SLOT_TTL_MS,
  type SlotAnswer,
  type SlotGrant,
  type SlotReport,
  type SlotRequest,
} from "../decisions/mod.ts";

/** An action for the caller to carry out after a call. */
export type LeadOutput =
  | {
    readonly type: "decided";
    readonly attemptId: string;
    readonly answer: SlotAnswer;
  }
  | { readonly type: "moved"; readonly attemptId: string }
  | Extract<PoolOutput, { type: "order" }>;

/** A granted slot, with what the next lead needs at a handover. */
interface GrantedSlot {
  readonly held: HeldSlot;
  readonly entry: string;
  readonly grant?: SlotGrant;
  expiresAtMs: number;
}

/**
 * A new lead asks the VMs of its region which slots they hold. It decides nothing before all have answered or this time
 * has passed: placing at once would fill slots that are taken. The slots of VMs that answer in time are counted
 * exactly; for the others, the upstreams' load reports give a lower bound.
 */
export const COLLECT_TIMEOUT_MS = 400;

/** Decides the requests of one pool and records the grants of its slots. */
export class LeadPool {
  readonly key: string;
  readonly pool: Pool;
  readonly #holders = new GrantIndex();
  readonly #granted = new Map<string, GrantedSlot>();
  /** Attempts whose end was reported, with the time until which a list that names them may be an older one. */
  readonly #endedUntilMs = new Map<string, number>();
  readonly #waiting = new Map<
    string,
    { entry: string; request: SlotRequest }
  >();
  readonly #unansweredVms: Set<string>;
  readonly #collectUntilMs: number;
  #isCollecting = true;
  #isStopped = false;

  constructor(
    info: PoolInfo,
    vmIds: readonly string[],
    seed: number,
    nowMs: number,
  ) {
    this.key = info.key;
    this.pool = new Pool({ service: info.service, region: info.region, seed });
    this.#unansweredVms = new Set(vmIds);
    this.#collectUntilMs = nowMs + COLLECT_TIMEOUT_MS;
  }

  get isCollecting(): boolean {
    return this.#isCollecting;
  }

  configure(table: Table, info: PoolInfo, nowMs: number): LeadOutput[] {
    return this.#applyOutputs(
      this.pool.configure(table, info.upstreams, nowMs),
      nowMs,
    );
  }

  /** Takes over the slots that a VM of the region reports as held. */
  adoptHeld(
    entry: string,
    held: readonly HeldSlot[],
    nowMs: number,
  ): LeadOutput[] {
    // The entry VM and the previous lead may both report a slot; it is counted once.
    const outputs = this.#adopt(entry, this.#notYetGranted(held), nowMs, nowMs);
    this.#unansweredVms.delete(entry);
    if (this.#unansweredVms.size === 0) {
      outputs.push(...this.#endCollecting(nowMs));
    }
    return outputs;
  }

  /** Takes over the slots that the previous lead granted. The entry VM may not have received the grant yet. */
  adoptHandover(
    entry: string,
    held: readonly HeldSlot[],
    nowMs: number,
  ): LeadOutput[] {
    const settledAtMs = nowMs + GRANT_SETTLE_MS;
    return this.#adopt(entry, this.#notYetGranted(held), settledAtMs, nowMs);
  }

  request(
    request: SlotRequest,
    entry: string,
    nowMs: number,
  ): LeadOutput[] {
    const { attemptId } = request;
    if (this.#isStopped) return [{ type: "moved", attemptId }];
    // The reply was lost and the entry VM retries. A second slot for the same attempt would never be used.
    const grant = this.#granted.get(attemptId)?.grant;
    if (grant) return [{ type: "decided", attemptId, answer: grant }];
    if (this.#waiting.has(attemptId)) return [];
    this.#waiting.set(attemptId, { entry, request });
    if (this.#isCollecting) return [];
    return this.#applyOutputs(this.pool.request(request, nowMs), nowMs);
  }

  report(report: SlotReport, nowMs: number): LeadOutput[] {
    if (report.outcome !== "started") {
      this.#removeGrant(report.attemptId);
      this.#endedUntilMs.delete(report.attemptId);
      this.#endedUntilMs.set(report.attemptId, nowMs + GRANT_SETTLE_MS);
    }
    return this.#applyOutputs(this.pool.report(report, nowMs), nowMs);
  }

  cancel(attemptId: string, nowMs: number): LeadOutput[] {
    this.#waiting.delete(attemptId);
    this.#removeGrant(attemptId);
    return this.#applyOutputs(this.pool.cancel(attemptId, nowMs), nowMs);
  }

  /** Cancels the queued requests of VMs that are gone: a slot granted to one would stay taken until it expires. */
  cancelForMissing(
    isPresent: (entry: string) => boolean,
    nowMs: number,
  ): LeadOutput[] {
    const outputs: LeadOutput[] = [];
    for (const [attemptId, { entry }] of [...this.#waiting]) {
      if (!isPresent(entry)) outputs.push(...this.cancel(attemptId, nowMs));
    }
    return outputs;
  }

  /**
   * Renews all slots of `entry` for another {@link SLOT_TTL_MS} if the digest shows that `entry` holds what is recorded
   * here. Returns false if it must list its slots instead.
   */
  renew(entry: string, digest: AttemptsDigest, nowMs: number): boolean {
    if (!this.#holders.matches(entry, digest)) return false;
    const unknown = this.#renewGranted(this.#holders.heldBy(entry), nowMs);
    // The pool released these slots before the renewal arrived, so the entry VM must list what it holds.
    for (const id of unknown) this.#removeGrant(id);
    return unknown.length === 0;
  }

  /** Replaces the record of the slots of `entry` with its own list, but keeps grants that may be in transit to it. */
  reconcile(
    entry: string,
    listed: readonly HeldSlot[],
    nowMs: number,
  ): LeadOutput[] {
    const held = listed.filter((slot) => !this.#hasEnded(slot));
    const ids = held.map((slot) => slot.attemptId);
    const { renew, free } = this.#holders.reconcile(entry, ids, nowMs);
    const outputs: LeadOutput[] = [];
    for (const id of free) outputs.push(...this.cancel(id, nowMs));
    const unknown = new Set(this.#renewGranted(renew, nowMs));
    const adopted = held.filter((slot) =>
      unknown.has(slot.attemptId) || !this.#granted.has(slot.attemptId)
    );
    outputs.push(...this.#adopt(entry, adopted, nowMs, nowMs));
    return outputs;
  }

  observe(load: LoadReport, nowMs: number): LeadOutput[] {
    return this.#applyOutputs(this.pool.observe(load, nowMs), nowMs);
  }

  tick(nowMs: number): LeadOutput[] {
    const outputs: LeadOutput[] = [];
    if (this.#isCollecting && nowMs >= this.#collectUntilMs) {
      outputs.push(...this.#endCollecting(nowMs));
    }
    outputs.push(...this.#returnExpired(nowMs));
    outputs.push(...this.#applyOutputs(this.pool.tick(nowMs), nowMs));
    for (const [id, granted] of this.#granted) {
      if (granted.expiresAtMs <= nowMs) this.#removeGrant(id);
    }
    for (const [id, untilMs] of this.#endedUntilMs) {
      if (untilMs > nowMs) break;
      this.#endedUntilMs.delete(id);
    }
    return outputs;
  }

  /** Stops granting because another VM leads the pool now. Queued requests are answered `moved` and go there. */
  stop(): LeadOutput[] {
    this.#isStopped = true;
    const outputs: LeadOutput[] = [];
    for (const attemptId of this.#waiting.keys()) {
      outputs.push({ type: "moved", attemptId });
    }
    this.#waiting.clear();
    return outputs;
  }

  /** Lists the granted slots by entry VM, for the next lead. */
  heldByEntry(): [string, HeldSlot[]][] {
    const byEntry = new Map<string, HeldSlot[]>();
    for (const { held, entry, expiresAtMs } of this.#granted.values()) {
      const slots = byEntry.get(entry) ?? [];
      slots.push({ ...held, expiresAtMs });
      byEntry.set(entry, slots);
    }
    return [...byEntry];
  }

  dump(): unknown {
    return {
      collecting: this.#isCollecting,
      waiting: this.#waiting.size,
      granted: this.#granted.size,
      pool: this.pool.dump(),
    };
  }

  #endCollecting(nowMs: number): LeadOutput[] {
    if (!this.#isCollecting) return [];
    this.#isCollecting = false;
    const outputs: LeadOutput[] = [];
    for (const { request } of [...this.#waiting.values()]) {
      outputs.push(
        ...this.#applyOutputs(this.pool.request(request, nowMs), nowMs),
      );
    }
    return outputs;
  }

  /**
   * Answers `moved` to expired requests. While slots are collected, the pool has not seen the queued requests yet, so
   * their deadlines are enforced here.
   */
  #returnExpired(nowMs: number): LeadOutput[] {
    if (!this.#isCollecting) return [];
    const outputs: LeadOutput[] = [];
    for (const [attemptId, { request }] of this.#waiting) {
      if (request.deadlineMs > nowMs) continue;
      this.#waiting.delete(attemptId);
      outputs.push({ type: "moved", attemptId });
    }
    return outputs;
  }

  #notYetGranted(held: readonly HeldSlot[]): HeldSlot[] {
    return held.filter((slot) =>
      !this.#granted.has(slot.attemptId) && !this.#hasEnded(slot)
    );
  }

  #hasEnded({ attemptId }: HeldSlot): boolean {
    return this.#endedUntilMs.has(attemptId);
  }

  #adopt(
    entry: string,
    held: readonly HeldSlot[],
    settledAtMs: number,
    nowMs: number,
  ): LeadOutput[] {
    // The slot is held now, so its full TTL starts now. The slot's own expiry dates from its first grant.
    const expiresAtMs = nowMs + SLOT_TTL_MS;
    const renewed = held.map((slot) => ({ ...slot, expiresAtMs }));
    for (const slot of renewed) {
      this.#holders.add(entry, slot.attemptId, settledAtMs);
      this.#granted.set(slot.attemptId, { held: slot, entry, expiresAtMs });
    }
    return this.#applyOutputs(this.pool.adopt(renewed, nowMs), nowMs);
  }

  #renewGranted(
    attemptIds: readonly string[],
    nowMs: number,
  ): readonly string[] {
    for (const id of attemptIds) {
      const granted = this.#granted.get(id);
      if (granted) granted.expiresAtMs = nowMs + SLOT_TTL_MS;
    }
    return this.pool.renew(attemptIds, nowMs);
  }

  #removeGrant(attemptId: string): void {
    this.#holders.remove(attemptId);
    this.#granted.delete(attemptId);
  }

  #applyOutputs(outputs: readonly PoolOutput[], nowMs: number): LeadOutput[] {
    const leadOutputs: LeadOutput[] = [];
    for (const output of outputs) {
      if (output.type === "order") {
        leadOutputs.push(output);
        continue;
      }
      const { attemptId, answer } = output;
      const waiting = this.#waiting.get(attemptId);
      if (!waiting) continue;
      this.#waiting.delete(attemptId);
      if (answer.type === "grant") this.#recordGrant(waiting, answer, nowMs);
      leadOutputs.push({ type: "decided", attemptId, answer });
    }
    return leadOutputs;
  }

  #recordGrant(
    waiting: { entry: string; request: SlotRequest },
    grant: SlotGrant,
    nowMs: number,
  ): void {
    this.#endedUntilMs.delete(grant.attemptId);
    this.#holders.add(waiting.entry, grant.attemptId, nowMs + GRANT_SETTLE_MS);
    this.#granted.set(grant.attemptId, {
      held: heldSlot(waiting.request, grant),
      entry: waiting.entry,
      grant,
      expiresAtMs: grant.expiresAtMs,
    });
  }
}

/** Describes a grant for another lead. */
export function heldSlot(request: SlotRequest, grant: SlotGrant): HeldSlot {
  return {
    attemptId: grant.attemptId,
    upstreamId: grant.upstreamId,
    expiresAtMs: grant.expiresAtMs,
    promptTokens: request.promptTokens,
    expectedOutputTokens: request.expectedOutputTokens,
    workspace: request.workspace,
  };
}
