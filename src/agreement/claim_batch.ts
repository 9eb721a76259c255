/**
 * Builds a group commit: the store writes that append a run of events, guarded by a compare-and-swap on the shard's
 * head.
 *
 * @module
 */

import type { Write } from "../adapters/mod.ts";
import type { ShardHead } from "./claim_head.ts";
import { type ClaimEvent, eventBytes, type VmRef } from "./claim_record.ts";

/** Store keys of a shard's records. */
export interface ShardKeys {
  readonly head: string;
  readonly segments: string;
}

/** Returns the store keys of shard `shard` of `region`. */
export function shardKeys(region: string, shard: number): ShardKeys {
  const base = `claims/${region}/${String(shard).padStart(4, "0")}`;
  return { head: `${base}/head`, segments: `${base}/segments/` };
}

/** Returns the key of one segment. Keys sort by segment number. */
export function segmentKey(keys: ShardKeys, segment: number): string {
  return `${keys.segments}${String(segment).padStart(12, "0")}`;
}

/** A head and the store revision at which it was read or written. */
export interface StoredHead {
  readonly head: ShardHead;
  readonly rev: number;
}

/**
 * A group commit in progress. It is resent unchanged until its outcome is known, so that finding its head in the store
 * proves that it took effect.
 */
export interface CommitBatch {
  readonly head: ShardHead;
  readonly writes: readonly Write[];
  /** Size of `head.open` in the store. */
  readonly openBytes: number;
  /** When it was first sent, on the monotonic clock; `head.touchedAtMs` is the same moment on the wall clock. */
  readonly firstSentMonoMs: number;
}

/** Input of {@link makeBatch}. */
export interface CommitBatchInput {
  readonly keys: ShardKeys;
  readonly base: StoredHead;
  readonly baseOpenBytes: number;
  readonly events: readonly ClaimEvent[];
  readonly owner: VmRef | undefined;
  readonly witnesses: readonly VmRef[];
  readonly nowMs: number;
  readonly monoMs: number;
  /** Number of oldest segments to delete, because their newest event is past retention. */
  readonly expiredSegments: number;
  /** Maximum size of `head.open`; beyond it the events become a segment. */
  readonly segmentBytes: number;
}

/** Builds an owner's next group commit. */
export function makeBatch(input: CommitBatchInput): CommitBatch {
  const { keys, base, events } = input;
  const old = base.head;
  const open = [...old.open, ...events];
  const bytes = input.baseOpenBytes + eventsBytes(events);
  const startsSegment = bytes > input.segmentBytes;
  const head: ShardHead = {
    ...old,
    commit: old.commit + 1,
    owner: input.owner,
    witnesses: [...input.witnesses],
    nextN: Math.max(old.nextN, (events.at(-1)?.n ?? -1) + 1),
    firstSegment: old.firstSegment + input.expiredSegments,
    nextSegment: old.nextSegment + (startsSegment ? 1 : 0),
    touchedAtMs: input.nowMs,
    open: startsSegment ? [] : open,
  };
  const writes: Write[] = [makeHeadWrite(keys, head, base.rev)];
  if (startsSegment) {
    writes.push(makeSegmentWrite(keys, old.nextSegment, open));
  }
  for (let i = 0; i < input.expiredSegments; i++) {
    const key = segmentKey(keys, old.firstSegment + i);
    writes.push({ type: "delete", key });
  }
  return {
    head,
    writes,
    openBytes: startsSegment ? 0 : bytes,
    firstSentMonoMs: input.monoMs,
  };
}

/** Builds the write of a head. It fails if another head was written since `rev`. */
export function makeHeadWrite(
  keys: ShardKeys,
  head: ShardHead,
  rev: number,
): Write {
  return {
    type: "put",
    key: keys.head,
    value: JSON.stringify(head),
    ifRev: rev,
  };
}

/**
 * Builds the write of a segment. It belongs in one transaction with the write of the head, whose condition guards both.
 */
export function makeSegmentWrite(
  keys: ShardKeys,
  segment: number,
  events: readonly ClaimEvent[],
): Write {
  return {
    type: "put",
    key: segmentKey(keys, segment),
    value: JSON.stringify(events),
  };
}

/** Returns the size of the events in the store. */
export function eventsBytes(events: readonly ClaimEvent[]): number {
  let bytes = 0;
  for (const event of events) bytes += eventBytes(event);
  return bytes;
}

/** Splits events into runs of at most `maxBytes`. */
export function splitEvents(
  events: readonly ClaimEvent[],
  maxBytes: number,
): ClaimEvent[][] {
  const runs: ClaimEvent[][] = [];
  let bytes = Infinity;
  for (const event of events) {
    const size = eventBytes(event);
    if (bytes + size > maxBytes) {
      runs.push([]);
      bytes = 0;
    }
    runs.at(-1)!.push(event);
    bytes += size;
  }
  return runs;
}
