/**
 * One group commit: the writes that bring a run of events into the store, under compare-and-swap of the shard's head.
 *
 * @module
 */

import type { Write } from "../adapters/mod.ts";
import type { ShardHead } from "./claim_head.ts";
import { type ClaimEvent, eventBytes, type VmRef } from "./claim_record.ts";

/** Where a shard's records stand in the store. */
export interface ShardKeys {
  readonly head: string;
  readonly segments: string;
}

/** The keys of shard `shard` of `region`. */
export function shardKeys(region: string, shard: number): ShardKeys {
  const base = `claims/${region}/${String(shard).padStart(4, "0")}`;
  return { head: `${base}/head`, segments: `${base}/segments/` };
}

/** The key of one segment; keys sort by number. */
export function segmentKey(keys: ShardKeys, segment: number): string {
  return `${keys.segments}${String(segment).padStart(12, "0")}`;
}

/** A head and the revision it was read or written at. */
export interface StoredHead {
  readonly head: ShardHead;
  readonly rev: number;
}

/** A write of the head that is under way. Sent again unchanged until settled, so that the store's copy proves it. */
export interface CommitBatch {
  readonly head: ShardHead;
  readonly writes: readonly Write[];
  /** The bytes of `head.open`. */
  readonly openBytes: number;
  /** When it was first sent (monotonic); `head.touchedAtMs` states the same moment. */
  readonly firstSentMonoMs: number;
}

/** What goes into a batch. */
export interface CommitBatchInput {
  readonly keys: ShardKeys;
  readonly base: StoredHead;
  readonly baseOpenBytes: number;
  readonly events: readonly ClaimEvent[];
  readonly owner: VmRef | undefined;
  readonly witnesses: readonly VmRef[];
  readonly nowMs: number;
  readonly monoMs: number;
  /** Segments whose newest event is past retention. */
  readonly expiredSegments: number;
  /** Most bytes of `open` before it becomes a segment. */
  readonly segmentBytes: number;
}

/** Builds the next write of an owner. */
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

/** The write of a head, which fails if another was written since `rev`. */
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

/** The write of a segment; it goes with the head's, which guards it. */
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

/** The bytes that events take in the store. */
export function eventsBytes(events: readonly ClaimEvent[]): number {
  let bytes = 0;
  for (const event of events) bytes += eventBytes(event);
  return bytes;
}

/** Splits events into runs of at most `mostBytes`. */
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
