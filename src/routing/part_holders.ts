/**
 * Which engines hold which shared parts of prompts, from what was sent where.
 *
 * @module
 */

import type { PromptPart } from "./types.ts";

/** How long a part is taken for kept: engines turn their cache over in ten seconds or more at their peak. */
const KEPT_MS = 10_000;
/** Parts remembered; a VM of the largest sites sees some hundred in ten seconds. */
const MOST_PARTS = 4_096;
/** Parts told to another VM at once; a heartbeat stays within one datagram. */
const MOST_TOLD = 16;
/** The same for what a region tells another: a digest brings what many VMs read in half a second. */
const MOST_OF_REGION = 24;

/** A part that an engine has read, as one VM tells another. A pair, since heartbeats carry several. */
export type HeldPart = readonly [partId: string, upstreamKey: string];

/** An engine that was sent a part. */
interface Holding {
  readonly upstreamKey: string;
  readonly sentMonoMs: number;
  /** Whether it has read the part, so that others can copy it. */
  readonly isRead: boolean;
}

/** A part that was read. */
interface Read {
  readonly held: HeldPart;
  readonly readMonoMs: number;
}

function push(reads: Read[], read: Read, most: number): void {
  reads.push(read);
  if (reads.length > most) reads.shift();
}

function within(reads: readonly Read[], ms: number, nowMs: number): HeldPart[] {
  return reads.filter(({ readMonoMs }) => nowMs - readMonoMs <= ms)
    .map(({ held }) => held);
}

/** See the module. Holds what this VM sent and what others told. */
export class PartHolders {
  /** By part, the engines that were sent it, the latest last. Parts in the order of their last use. */
  readonly #holdings = new Map<string, Holding[]>();
  /** What engines read for this VM, the latest last. */
  readonly #own: Read[] = [];
  /** The same for all VMs of the region, as far as they told. */
  readonly #region: Read[] = [];

  /** Notes that an engine is sent a prompt with these parts, which others share. */
  noteSent(
    shared: readonly PromptPart[],
    upstreamKey: string,
    nowMs: number,
  ): void {
    for (const { id } of shared) {
      const isRead = this.#live(id, nowMs).some((holding) =>
        holding.upstreamKey === upstreamKey && holding.isRead
      );
      this.#put(id, { upstreamKey, sentMonoMs: nowMs, isRead });
    }
  }

  /** Notes that an engine has read a prompt with these parts for this VM. */
  noteRead(
    shared: readonly PromptPart[],
    upstreamKey: string,
    nowMs: number,
  ): void {
    for (const { id } of shared) {
      this.#put(id, { upstreamKey, sentMonoMs: nowMs, isRead: true });
    }
    const last = shared.at(-1);
    if (!last) return;
    const read: Read = { held: [last.id, upstreamKey], readMonoMs: nowMs };
    push(this.#own, read, MOST_TOLD);
    push(this.#region, read, MOST_OF_REGION);
  }

  /** Notes that an engine has read a part, as another VM told, of this region or another. */
  noteTold(held: HeldPart, isNear: boolean, nowMs: number): void {
    const [partId, upstreamKey] = held;
    this.#put(partId, { upstreamKey, sentMonoMs: nowMs, isRead: true });
    if (isNear) push(this.#region, { held, readMonoMs: nowMs }, MOST_OF_REGION);
  }

  /** What engines read for this VM in the last `ms`, to be told to others. */
  readWithin(ms: number, nowMs: number): HeldPart[] {
    return within(this.#own, ms, nowMs);
  }

  /** What engines of the region read in the last `ms`, to be told to other regions. */
  readInRegion(ms: number, nowMs: number): HeldPart[] {
    return within(this.#region, ms, nowMs);
  }

  /**
   * Tells of each engine how many tokens at the start of a prompt it holds, or will have read when a request that is
   * sent now comes to its turn. A part is kept with all before it. Made once for a prompt and asked for each engine.
   */
  warmth(
    shared: readonly PromptPart[],
    nowMs: number,
  ): (upstreamKey: string) => number {
    const warm = new Map<string, number>();
    let tokens = 0;
    for (const { id, tokens: ofPart } of shared) {
      tokens += ofPart;
      for (const { upstreamKey } of this.#live(id, nowMs)) {
        warm.set(upstreamKey, tokens);
      }
    }
    return (upstreamKey) => warm.get(upstreamKey) ?? 0;
  }

  /** The engines that a part can be copied from, the latest first. */
  holders(partId: string, nowMs: number): string[] {
    return this.#live(partId, nowMs)
      .filter(({ isRead }) => isRead)
      .map(({ upstreamKey }) => upstreamKey)
      .reverse();
  }

  #put(partId: string, holding: Holding): void {
    const others = this.#live(partId, holding.sentMonoMs)
      .filter(({ upstreamKey }) => upstreamKey !== holding.upstreamKey);
    // A part that is used again moves to the end, so that the oldest come first.
    this.#holdings.delete(partId);
    this.#holdings.set(partId, [...others, holding]);
    if (this.#holdings.size <= MOST_PARTS) return;
    const [oldest] = this.#holdings.keys();
    this.#holdings.delete(oldest);
  }

  #live(partId: string, nowMs: number): Holding[] {
    return (this.#holdings.get(partId) ?? []).filter(({ sentMonoMs }) =>
      nowMs - sentMonoMs <= KEPT_MS
    );
  }
}
