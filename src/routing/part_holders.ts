/**
 * Tracks which engines have cached which shared parts of prompts, by what was sent to them.
 *
 * @module
 */

import type { PromptPart } from "./types.ts";

/**
 * How long a part is assumed to stay cached. At peak load, engines replace their whole cache in ten seconds or more.
 */
const PART_TTL_MS = 10_000;
/** Maximum number of parts tracked. A VM of the largest sites sees some hundred in ten seconds. */
const MAX_PARTS = 4_096;
/** Maximum number of parts reported to another VM at once, so that a heartbeat fits into one datagram. */
const MAX_OWN_READS = 16;
/** The same for reports to another region: a digest covers what many VMs read in half a second. */
const MAX_REGION_READS = 24;

/**
 * A part that an engine has read, as reported between VMs. A pair keeps it short, since a heartbeat carries several.
 */
export type HeldPart = readonly [partId: string, upstreamKey: string];

/** An engine that was sent a part. */
interface Holder {
  readonly upstreamKey: string;
  readonly sentMonoMs: number;
  /** Whether the engine has read the part, so that other engines can copy it. */
  readonly isRead: boolean;
}

/** A part that an engine has read, with the time. */
interface PartRead {
  readonly held: HeldPart;
  readonly readMonoMs: number;
}

function pushBounded(
  reads: PartRead[],
  read: PartRead,
  maxReads: number,
): void {
  reads.push(read);
  if (reads.length > maxReads) reads.shift();
}

function readsWithin(
  reads: readonly PartRead[],
  ms: number,
  nowMs: number,
): HeldPart[] {
  return reads.filter(({ readMonoMs }) => nowMs - readMonoMs <= ms)
    .map(({ held }) => held);
}

/** Tracks the engines that hold shared parts of prompts, from this VM's sends and from the reports of other VMs. */
export class PartHolders {
  /** For each part, the engines that were sent it, latest last. The parts are in the order of their last use. */
  readonly #holdersByPart = new Map<string, Holder[]>();
  /** Parts that engines read for this VM, latest last. */
  readonly #ownReads: PartRead[] = [];
  /** The same for all VMs of the region, as far as they reported it. */
  readonly #regionReads: PartRead[] = [];

  /** Notes that an engine is sent a prompt with these parts, which other requests share. */
  noteSent(
    shared: readonly PromptPart[],
    upstreamKey: string,
    nowMs: number,
  ): void {
    for (const { id } of shared) {
      const isRead = this.#currentHolders(id, nowMs).some((holder) =>
        holder.upstreamKey === upstreamKey && holder.isRead
      );
      this.#putHolder(id, { upstreamKey, sentMonoMs: nowMs, isRead });
    }
  }

  /** Notes that an engine has read a prompt with these parts for this VM. */
  noteRead(
    shared: readonly PromptPart[],
    upstreamKey: string,
    nowMs: number,
  ): void {
    for (const { id } of shared) {
      this.#putHolder(id, { upstreamKey, sentMonoMs: nowMs, isRead: true });
    }
    const last = shared.at(-1);
    if (!last) return;
    const read: PartRead = { held: [last.id, upstreamKey], readMonoMs: nowMs };
    pushBounded(this.#ownReads, read, MAX_OWN_READS);
    pushBounded(this.#regionReads, read, MAX_REGION_READS);
  }

  /** Notes that an engine has read a part, as another VM of this region or of a remote one reported. */
  noteRemoteRead(held: HeldPart, isSameRegion: boolean, nowMs: number): void {
    const [partId, upstreamKey] = held;
    this.#putHolder(partId, { upstreamKey, sentMonoMs: nowMs, isRead: true });
    if (isSameRegion) {
      pushBounded(
        this.#regionReads,
        { held, readMonoMs: nowMs },
        MAX_REGION_READS,
      );
    }
  }

  /** Returns what engines read for this VM in the last `ms`, to be reported to other VMs. */
  ownReadsWithin(ms: number, nowMs: number): HeldPart[] {
    return readsWithin(this.#ownReads, ms, nowMs);
  }

  /** Returns what engines of the region read in the last `ms`, to be reported to other regions. */
  regionReadsWithin(ms: number, nowMs: number): HeldPart[] {
    return readsWithin(this.#regionReads, ms, nowMs);
  }

  /**
   * Returns a function that gives, for an engine, the number of tokens at the start of a prompt that the engine has
   * cached, or will have read when it starts a request that is sent now. A part is cached with all parts before it. The
   * function is created once per prompt and called for each engine.
   */
  cachedPrefixTokens(
    shared: readonly PromptPart[],
    nowMs: number,
  ): (upstreamKey: string) => number {
    const tokensByEngine = new Map<string, number>();
    let tokens = 0;
    for (const { id, tokens: partTokens } of shared) {
      tokens += partTokens;
      for (const { upstreamKey } of this.#currentHolders(id, nowMs)) {
        tokensByEngine.set(upstreamKey, tokens);
      }
    }
    return (upstreamKey) => tokensByEngine.get(upstreamKey) ?? 0;
  }

  /** Lists the engines that a part can be copied from, latest first. */
  sourcesOf(partId: string, nowMs: number): string[] {
    return this.#currentHolders(partId, nowMs)
      .filter(({ isRead }) => isRead)
      .map(({ upstreamKey }) => upstreamKey)
      .reverse();
  }

  #putHolder(partId: string, holder: Holder): void {
    const others = this.#currentHolders(partId, holder.sentMonoMs)
      .filter(({ upstreamKey }) => upstreamKey !== holder.upstreamKey);
    // A part that is used again moves to the end, so that the least recently used part comes first.
    this.#holdersByPart.delete(partId);
    this.#holdersByPart.set(partId, [...others, holder]);
    if (this.#holdersByPart.size <= MAX_PARTS) return;
    const [oldest] = this.#holdersByPart.keys();
    this.#holdersByPart.delete(oldest);
  }

  #currentHolders(partId: string, nowMs: number): Holder[] {
    return (this.#holdersByPart.get(partId) ?? []).filter(({ sentMonoMs }) =>
      nowMs - sentMonoMs <= PART_TTL_MS
    );
  }
}
