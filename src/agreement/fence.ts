/**
 * Fencing numbers of orders to engines. A number belongs to one holder, comes from the store by compare-and-swap, and
 * only grows. An engine that checks refuses what is older than it has seen. For one that does not check, the number is
 * a lease besides: its holder sends only while nobody else may have taken it.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { sameVm, type VmRef } from "./claim_record.ts";

const fenceRecord = z.object({
  format: z.literal(1),
  number: z.number().int().positive(),
  /** Absent once given back. */
  holder: z.object({ id: z.string(), incarnation: z.number() }).optional(),
  /** Counts renewals, so that each one changes the record. */
  beat: z.number().int(),
});

/** What the store holds for one upstream. */
export type FenceRecord = z.infer<typeof fenceRecord>;

/** Where an upstream's record stands. */
export function fenceKey(upstreamId: string): string {
  return `fencing/${upstreamId}`;
}

/** Reads a stored record. */
export function parseFence(value: string): Result<FenceRecord, string> {
  try {
    return ok(fenceRecord.parse(JSON.parse(value)));
  } catch (error) {
    return err(String(error));
  }
}

/** Times of the lease. */
export interface FenceLimits {
  /** Others take a lease over once they have seen it unchanged for this long. */
  readonly leaseMs: number;
  /** The holder stops this much earlier: clocks differ in speed, and an order may linger on the wire. */
  readonly marginMs: number;
  /** An order is cut off after this. */
  readonly orderMs: number;
}

/** The defaults. */
export const DEFAULT_FENCE_LIMITS: FenceLimits = {
  leaseMs: 15_000,
  marginMs: 3000,
  orderMs: 3000,
};

/** A record as seen by one VM. */
export interface SeenFence {
  readonly record: FenceRecord | undefined;
  readonly rev: number;
  /** Since when this VM has seen this revision (monotonic). */
  readonly sinceMonoMs: number;
}

/** What a VM may do with a record to get a number: write one, or wait. */
export type FenceStep =
  | { readonly type: "write"; readonly record: FenceRecord }
  | { readonly type: "wait"; readonly untilMonoMs: number };

/**
 * The next record of a VM that wants to send. An engine that checks needs no lease: the new number itself stops the old
 * holder. For the others the old holder's lease is waited out, also if the holder is known to have ended: its last
 * order may still be on the wire.
 */
export function nextFenceStep(
  seen: SeenFence,
  me: VmRef,
  checksFence: boolean,
  monoMs: number,
  limits: FenceLimits,
): FenceStep {
  const { record } = seen;
  const holder = record?.holder;
  if (record && holder && sameVm(holder, me)) {
    return { type: "write", record: { ...record, beat: record.beat + 1 } };
  }
  const untilMonoMs = seen.sinceMonoMs + limits.leaseMs;
  if (holder && !checksFence && monoMs < untilMonoMs) {
    return { type: "wait", untilMonoMs };
  }
  const number = (record?.number ?? 0) + 1;
  return { type: "write", record: { format: 1, number, holder: me, beat: 0 } };
}

/** A number held, and until when (monotonic) an order may start. */
export interface HeldFence {
  readonly number: number;
  readonly rev: number;
  readonly record: FenceRecord;
  readonly sendUntilMonoMs: number;
}

/** What a successful write that was sent at `sentMonoMs` gives. */
export function makeHeldFence(
  record: FenceRecord,
  rev: number,
  sentMonoMs: number,
  limits: FenceLimits,
): HeldFence {
  const { leaseMs, marginMs, orderMs } = limits;
  const sendUntilMonoMs = sentMonoMs + leaseMs - marginMs - orderMs;
  return { number: record.number, rev, record, sendUntilMonoMs };
}

/** Whether an order may start now: checked in the step that sends it. */
export function canSend(held: HeldFence, monoMs: number): boolean {
  return monoMs < held.sendUntilMonoMs;
}
