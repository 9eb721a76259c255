/**
 * The messages between an entry VM and the lead of a pool. `pool` is the pool's key. `entry` is the entry VM, where the
 * caller's request arrived; it differs from the sender if a third VM relays the message.
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

/** The common fields. A message is relayed at most once: one that circulated between VMs would never be refused. */
export interface LeadMessage {
  readonly pool: string;
  readonly entry: string;
  readonly relayed: boolean;
}

/** `slots.acquire`: asks for a slot. The reply is sent when the lead has granted or refused it. */
export type AcquireMessage = LeadMessage & { readonly request: SlotRequest };

/** The reply to `slots.acquire`. `moved`: the receiver does not lead the pool, or stopped before it decided. */
export type AcquireReply =
  | { readonly type: "decided"; readonly answer: SlotAnswer }
  | { readonly type: "moved" };

/** `slots.renew`: renews all slots of the entry VM. `held` lists them after the lead answered `disagreed`. */
export type RenewMessage = LeadMessage & {
  readonly digest: AttemptsDigest;
  readonly held?: readonly HeldSlot[];
};

/** The reply to `slots.renew`. `disagreed`: the lead's record of the entry VM's slots does not match the digest. */
export type RenewReply = {
  readonly type: "renewed" | "disagreed" | "moved";
};

/** `slots.report`: an attempt started or ended. */
export type ReportMessage = LeadMessage & { readonly report: SlotReport };

/** `slots.cancel`: the caller of an attempt disconnected. */
export type CancelMessage = LeadMessage & { readonly attemptId: string };

/** `slots.held`: a new lead asks which slots of the pool the VM holds. The reply is a list of {@link HeldSlot}s. */
export interface HeldMessage {
  readonly pool: string;
}

/** `slots.handover`: a lead that steps down sends the slots that it granted, by entry VM, to the next lead. */
export interface HandoverMessage {
  readonly pool: string;
  readonly held: readonly (readonly [entry: string, slots: HeldSlot[]])[];
}
