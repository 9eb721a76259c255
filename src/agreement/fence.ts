/**
 * Fencing numbers for orders to engines. A number belongs to one holder, is taken from the store by compare-and-swap,
 * and only increases. An engine that checks the number refuses an order whose number is lower than one it has seen. For
 * an engine that does not check, the number is also a lease: its holder sends only while no other VM can have taken it
 * over.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { sameVm, type VmRef } from "./claim_record.ts";

const fenceRecord = z.object({
  format: z.literal(1),
  number: z.number().int().positive(),
  /** Absent once released. */
  holder: z.object({ id: z.string(), incarnation: z.number() }).optional(),
  /** Counts renewals, so that each one changes the record. */
  beat: z.number().int(),
});

/** The stored fencing record of one upstream. */
export type FenceRecord = z.infer<typeof fenceRecord>;

/** Returns the store key of an upstream's record. */
export function fenceKey(upstreamId: string): string {
  return `fencing/${upstreamId}`;
}

/** Parses a stored record. */
export function parseFence(value: string): Result<FenceRecord, string> {
  try {
    return ok(fenceRecord.parse(JSON.parse(value)));
  } catch (error) {
    return err(String(error));
  }
}

/** Durations of the lease and of an order. */
export interface FenceLimits {
  /** Other VMs take over a lease once they have seen it unchanged for this long. */
  readonly leaseMs: number;
  /**
   * The holder stops sending this much earlier, because clocks run at different speeds and an order may be delayed on
   * the network.
   */
  readonly marginMs: number;
  /** Timeout of an order. */
  readonly orderMs: number;
}

/** The default limits. */
export const DEFAULT_FENCE_LIMITS: FenceLimits = {
  leaseMs: 15_000,
  marginMs: 3000,
  orderMs: 3000,
};

/** A record as seen by one VM. */
export interface SeenFence {
  readonly record: FenceRecord | undefined;
  readonly rev: number;
  /** When this VM first saw this revision, on the monotonic clock. */
  readonly sinceMonoMs: number;
}

/** What a VM does next to get a number: write a record or wait. */
export type FenceStep =
  | { readonly type: "write"; readonly record: FenceRecord }
  | { readonly type: "wait"; readonly untilMonoMs: number };

/**
 * Returns the next step of a VM that has an order to send. An engine that checks needs no lease: the new number
 * itself stops the old holder. For other engines the old holder's lease has to expire first, even if the holder is
 * known to have ended, because its last order may still be on the network.
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

/** A number that this VM holds, and until when (monotonic) an order may start. */
export interface HeldFence {
  readonly number: number;
  readonly rev: number;
  readonly record: FenceRecord;
  readonly sendUntilMonoMs: number;
}

/** Returns the number held after a successful write that was sent at `sentMonoMs`. */
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

/** Whether an order may start now. It must be checked in the same step that sends the order. */
export function canSend(held: HeldFence, monoMs: number): boolean {
  return monoMs < held.sendUntilMonoMs;
}
