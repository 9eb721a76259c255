/**
 * Which engines hold which shared parts of prompts, from what was sent where.
 *
 * @module
 */

import type { PromptPart } from "./types.ts";

/** How long a part is taken for kept: engines turn their cache over in ten seconds or more at their peak. */
const PART_TTL_MS = 10_000;
/** Parts remembered; a VM of the largest sites sees some hundred in ten seconds. */
const MAX_PARTS = 4_096;
/** Parts told to another VM at once; a heartbeat stays within one datagram. */
const MAX_OWN_READS = 16;
/** The same for what a region tells another: a digest brings what many VMs read in half a second. */
const MAX_REGION_READS = 24;

/** A part that an engine has read, as one VM tells another. A pair, since heartbeats carry several. */
export type HeldPart = readonly [partId: string, upstreamKey: string];

/** An engine that was sent a part. */
interface Holder {
  readonly upstreamKey: string;
  readonly sentMonoMs: number;
  /** Whether it has read the part, so that others can copy it. */
  readonly isRead: boolean;
}

/** A part that was read. */
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

/** See the module. Holds what this VM sent and what others told. */
export class PartHolders {
  /** By part, the engines that were sent it, the latest last. Parts in the order of their last use. */
  readonly #holdersByPart = new Map<string, Holder[]>();
  /** What engines read for this VM, the latest last. */
  readonly #ownReads: PartRead[] = [];
  /** The same for all VMs of the region, as far as they told. */
  readonly #regionReads: PartRead[] = [];

  /** Notes that an engine is sent a prompt with these parts, which others share. */
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

  /** Notes that an engine has read a part, as another VM told, of this region or another. */
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

  /** What engines read for this VM in the last `ms`, to be told to others. */
  ownReadsWithin(ms: number, nowMs: number): HeldPart[] {
    return readsWithin(this.#ownReads, ms, nowMs);
  }

  /** What engines of the region read in the last `ms`, to be told to other regions. */
  regionReadsWithin(ms: number, nowMs: number): HeldPart[] {
    return readsWithin(this.#regionReads, ms, nowMs);
  }

  /**
   * Tells of each engine how many tokens at the start of a prompt it holds, or will have read when a request that is
   * sent now comes to its turn. A part is kept with all before it. Made once for a prompt and asked for each engine.
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

  /** The engines that a part can be copied from, the latest first. */
  sourcesOf(partId: string, nowMs: number): string[] {
    return this.#currentHolders(partId, nowMs)
      .filter(({ isRead }) => isRead)
      .map(({ upstreamKey }) => upstreamKey)
      .reverse();
  }

  #putHolder(partId: string, holder: Holder): void {
    const others = this.#currentHolders(partId, holder.sentMonoMs)
      .filter(({ upstreamKey }) => upstreamKey !== holder.upstreamKey);
    // A part that is used again moves to the end, so that the oldest come first.
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
