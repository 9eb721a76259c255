/**
 * The messages between an entry VM and the lead of a pool. `pool` is the pool's key; `entry` the VM whose caller waits,
 * which differs from the sender where a third VM relays.
 *
 * @module
 */

import type { AttemptsDigest } from "../agreement/mod.ts";
import type {
  HeldSlot,
  SlotAnswer,
  SlotReport,
  SlotRequest,
} from "../decisions/mod.ts";

/** Relayed once at most: a request that went round would never be refused. */
export interface LeadMessage {
  readonly pool: string;
  readonly entry: string;
  readonly relayed: boolean;
}

/** `slots.acquire`: asks for a slot; answered once it is decided. */
export type AcquireMessage = LeadMessage & { readonly request: SlotRequest };

/** `moved`: the VM that was asked does not lead the pool, or stopped leading it before it decided. */
export type AcquireReply =
  | { readonly type: "decided"; readonly answer: SlotAnswer }
  | { readonly type: "moved" };

/** `slots.renew`: the entry VM lives and holds these slots. `held` follows when the lead's book disagrees. */
export type RenewMessage = LeadMessage & {
  readonly digest: AttemptsDigest;
  readonly held?: readonly HeldSlot[];
};

/** What the lead says to a renewal. */
export type RenewReply = {
  readonly type: "renewed" | "disagreed" | "moved";
};

/** `slots.report`: an attempt ended. */
export type ReportMessage = LeadMessage & { readonly report: SlotReport };

/** `slots.cancel`: the caller of an attempt has gone. */
export type CancelMessage = LeadMessage & { readonly attemptId: string };

/** `slots.held`: a new lead asks what the VM holds of this pool; answered with its {@link HeldSlot}s. */
export interface HeldMessage {
  readonly pool: string;
}

/** `slots.handover`: the lead that steps down tells the next what it had granted, by entry VM. */
export interface HandoverMessage {
  readonly pool: string;
  readonly held: readonly (readonly [entry: string, slots: HeldSlot[]])[];
}
