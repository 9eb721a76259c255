/**
 * A shard's head record in the platform's store, and the rules by which a VM may take over from its owner.
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

/** Schema of the events in a segment or a replica message. */
export const claimEvents = z.array(claimEvent);

const shardHead = z.object({
  format: z.literal(1),
  /**
   * Number of shards in the region when this shard was created. A VM configured with another number must not serve it.
   */
  shardCount: z.number().int().positive(),
  /** Incremented with each new owner. */
  epoch: z.number().int(),
  /** Incremented with each write. Together with `epoch` and `owner` it tells a VM's own write from all others. */
  commit: z.number().int(),
  /** Absent after the owner released the shard. */
  owner: vmRef.optional(),
  /** The only VMs that may replace the owner while it may be granting claims without the store. */
  witnesses: z.array(vmRef),
  /** All events with lower numbers are in the store. */
  nextN: z.number().int(),
  firstSegment: z.number().int(),
  nextSegment: z.number().int(),
  /** Wall-clock time at which the owner sent this write. */
  touchedAtMs: z.number(),
  /** Until this time, keys without a record are answered "unknown", because records of an outage may be lost. */
  doubtUntilMs: z.number(),
  /** The newest events; older ones are in segments. */
  open: claimEvents,
});

/** A shard's head. Every write of the shard is a compare-and-swap of it. */
export type ShardHead = z.infer<typeof shardHead>;

/** Parses a stored head. */
export function parseHead(value: string): Result<ShardHead, string> {
  try {
    return ok(shardHead.parse(JSON.parse(value)));
  } catch (error) {
    return err(String(error));
  }
}

/** Parses the events of a stored segment. */
export function parseSegment(value: string): Result<ClaimEvent[], string> {
  try {
    return ok(claimEvents.parse(JSON.parse(value)));
  } catch (error) {
    return err(String(error));
  }
}

/** The state on which a VM's decision to take over a shard is based. */
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

/** Times that bound how long an owner may grant claims without the store. */
export interface TakeoverLimits {
  readonly outageAfterMs: number;
  readonly outageLimitMs: number;
  readonly clockSkewMs: number;
}

/** Whether a takeover is allowed now. After a `lossy` one, grants of the old owner may be missing. */
export type TakeoverDecision = "no" | "complete" | "lossy";

/** Whether this run of the VM has certainly ended, because its id is live under a higher incarnation. */
export function isReplaced(vm: VmRef, live: readonly VmRef[]): boolean {
  return live.some((other) =>
    other.id === vm.id && other.incarnation > vm.incarnation
  );
}

/**
 * Decides whether a VM may take over a shard now. The failure to prevent: the old owner, cut off from the store, grants
 * a key from memory while a new owner grants it again, and the call runs twice. An owner grants from memory only while
 * every witness holds its grants and has promised not to take over. So each rule below either waits until a promise has
 * expired or has proof that the owner has ended.
 */
export function decideTakeover(
  head: ShardHead | undefined,
  view: TakeoverView,
  limits: TakeoverLimits,
): TakeoverDecision {
  if (!head?.owner) return "complete";
  // This same run owned the shard, and the store was rolled back since: the grants made in between are not on record.
  if (sameVm(head.owner, view.me)) return "lossy";
  // Without witnesses the owner never grants from memory, so replacing the head is enough to fence it.
  if (head.witnesses.length === 0) return "complete";
  if (head.witnesses.some((w) => sameVm(w, view.me))) {
    return view.monoMs > view.promisedUntilMonoMs ? "complete" : "no";
  }
  const live = [...view.live, view.me];
  if (isReplaced(head.owner, live)) {
    // An owner that wrote to the store this recently has not granted anything without the store yet.
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
