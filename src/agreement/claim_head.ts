/**
 * The record of a shard in the platform's store, and who may replace its owner and when.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { type ClaimEvent, sameVm, type VmRef } from "./claim_record.ts";

const vmRef = z.object({ id: z.string(), incarnation: z.number() });

const claimEvent = z.object({
  n: z.number(),
  key: z.string(),
  body: z.string(),
  claimId: z.string(),
  claimer: vmRef.extend({ region: z.string() }),
  state: z.enum(["claimed", "finished", "released", "abandoned"]),
  atMs: z.number(),
  answer: z.object({
    httpStatus: z.number(),
    contentType: z.string(),
    bodyBase64: z.string(),
    truncated: z.boolean(),
  }).optional(),
});

/** Events of a segment, or of a replica message. */
export const claimEvents = z.array(claimEvent);

const shardHead = z.object({
  format: z.literal(1),
  /** Shards of the region when this one was made; a VM with another number must not serve it. */
  shardCount: z.number().int().positive(),
  /** Counts owners. */
  epoch: z.number().int(),
  /** Counts writes: with `epoch` and `owner` it tells one's own write from all others. */
  commit: z.number().int(),
  /** Absent after a clean hand-over. */
  owner: vmRef.optional(),
  /** The only VMs that may replace the owner while it may be granting without the store. */
  witnesses: z.array(vmRef),
  /** Every event below this is in the store. */
  nextN: z.number().int(),
  firstSegment: z.number().int(),
  nextSegment: z.number().int(),
  /** Wall clock at which the owner sent this write. */
  touchedAtMs: z.number(),
  /** Until then keys that are not on record are answered "unknown": records of an outage may be lost. */
  doubtUntilMs: z.number(),
  /** The newest events; older ones are in segments. */
  open: claimEvents,
});

/** The record that every write of a shard compares and swaps. */
export type ShardHead = z.infer<typeof shardHead>;

/** Reads a stored head. */
export function parseHead(value: string): Result<ShardHead, string> {
  try {
    return ok(shardHead.parse(JSON.parse(value)));
  } catch (error) {
    return err(String(error));
  }
}

/** Reads the events of a segment. */
export function parseSegment(value: string): Result<ClaimEvent[], string> {
  try {
    return ok(claimEvents.parse(JSON.parse(value)));
  } catch (error) {
    return err(String(error));
  }
}

/** What a VM knows when it weighs to take a shard over. */
export interface TakeoverView {
  readonly me: VmRef;
  readonly live: readonly VmRef[];
  readonly nowMs: number;
  readonly monoMs: number;
  /** Until when this VM has promised the owner not to take over (monotonic). */
  readonly promisedUntilMonoMs: number;
  /** Since when this VM has seen the head unchanged (monotonic). */
  readonly unchangedSinceMonoMs: number;
}

/** Times that bound when an owner may grant without the store. */
export interface TakeoverLimits {
  readonly outageAfterMs: number;
  readonly outageLimitMs: number;
  readonly clockSkewMs: number;
}

/** Whether a take-over is allowed now, and whether grants of the old owner may be missing afterwards. */
export type TakeoverDecision = "no" | "complete" | "lossy";

/** Whether this run of the VM is certainly over: the id runs again under a higher incarnation. */
export function isReplaced(vm: VmRef, live: readonly VmRef[]): boolean {
  return live.some((other) =>
    other.id === vm.id && other.incarnation > vm.incarnation
  );
}

/**
 * Who may take a shard over, and when. The failure: the old owner, cut off from the store, grants a key from memory
 * while a new owner grants it again; the call runs twice. An owner grants from memory only while all its witnesses
 * hold it a promise and hold its grants, so each rule below waits out a promise or has proof that the owner is over.
 */
export function decideTakeover(
  head: ShardHead | undefined,
  view: TakeoverView,
  limits: TakeoverLimits,
): TakeoverDecision {
  if (!head?.owner) return "complete";
  // This very run owned the shard and found the store gone back: what it granted since is not on record.
  if (sameVm(head.owner, view.me)) return "lossy";
  // Without witnesses the owner never grants from memory: the swap of the head alone fences it.
  if (head.witnesses.length === 0) return "complete";
  if (head.witnesses.some((w) => sameVm(w, view.me))) {
    return view.monoMs > view.promisedUntilMonoMs ? "complete" : "no";
  }
  const live = [...view.live, view.me];
  if (isReplaced(head.owner, live)) {
    // An owner that was in touch so recently has not yet granted without the store.
    const untouchedMs = view.nowMs - head.touchedAtMs;
    if (untouchedMs < limits.outageAfterMs - limits.clockSkewMs) {
      return "complete";
    }
    if (head.witnesses.every((w) => isReplaced(w, live))) return "lossy";
  }
  const unchangedMs = view.monoMs - view.unchangedSinceMonoMs;
  return unchangedMs > limits.outageLimitMs + limits.clockSkewMs
    ? "lossy"
    : "no";
}
