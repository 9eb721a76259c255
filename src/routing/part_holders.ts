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

const NO_HOLDERS: readonly Holder[] = [];

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
      this.#putHolder(id, upstreamKey, nowMs, false);
    }
  }

  /** Notes that an engine has read a prompt with these parts for this VM. */
  noteRead(
    shared: readonly PromptPart[],
    upstreamKey: string,
    nowMs: number,
  ): void {
    for (const { id } of shared) {
      this.#putHolder(id, upstreamKey, nowMs, true);
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
    this.#putHolder(partId, upstreamKey, nowMs, true);
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
   * Returns, by engine, the number of tokens at the start of a prompt that the engine has cached, or will have read when
   * it starts a request that is sent now. A part is cached with all parts before it. Engines that have cached nothing
   * are missing.
   */
  cachedPrefixTokens(
    shared: readonly PromptPart[],
    nowMs: number,
  ): ReadonlyMap<string, number> {
    const tokensByEngine = new Map<string, number>();
    let prefixTokens = 0;
    for (const { id, tokens } of shared) {
      prefixTokens += tokens;
      for (const holder of this.#holdersByPart.get(id) ?? NO_HOLDERS) {
        if (nowMs - holder.sentMonoMs > PART_TTL_MS) continue;
        tokensByEngine.set(holder.upstreamKey, prefixTokens);
      }
    }
    return tokensByEngine;
  }

  /** Lists the engines that a part can be copied from, latest first. */
  sourcesOf(partId: string, nowMs: number): string[] {
    const sources: string[] = [];
    const holders = this.#holdersByPart.get(partId) ?? NO_HOLDERS;
    for (let i = holders.length - 1; i >= 0; i--) {
      const holder = holders[i];
      if (holder.isRead && nowMs - holder.sentMonoMs <= PART_TTL_MS) {
        sources.push(holder.upstreamKey);
      }
    }
    return sources;
  }

  /** Makes an engine the latest holder of a part. One that has read the part before still has it. */
  #putHolder(
    partId: string,
    upstreamKey: string,
    nowMs: number,
    hasReadNow: boolean,
  ): void {
    const holders = this.#holdersByPart.get(partId) ?? [];
    let isRead = hasReadNow;
    let kept = 0;
    for (const holder of holders) {
      if (nowMs - holder.sentMonoMs > PART_TTL_MS) continue;
      if (holder.upstreamKey === upstreamKey) isRead ||= holder.isRead;
      else holders[kept++] = holder;
    }
    holders.length = kept;
    holders.push({ upstreamKey, sentMonoMs: nowMs, isRead });
    // A part that is used again moves to the end, so that the least recently used part comes first.
    this.#holdersByPart.delete(partId);
    this.#holdersByPart.set(partId, holders);
    if (this.#holdersByPart.size <= MAX_PARTS) return;
    const [oldest] = this.#holdersByPart.keys();
    this.#holdersByPart.delete(oldest);
  }
}
