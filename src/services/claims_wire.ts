/**
 * What VMs send each other about claims, checked on arrival.
 *
 * @module
 */

import { z } from "zod";
import { claimEvents, type ShardReply } from "../agreement/mod.ts";

/** The methods, as {@link Transport.handle} names them. */
export const claimsMethod = {
  ask: "claims.ask",
  change: "claims.change",
  lookup: "claims.lookup",
  replicate: "claims.replicate",
} as const;

const vmRef = z.object({
  id: z.string().max(128),
  incarnation: z.number(),
});
const digest = z.string().max(64);
const claimId = z.string().max(256);
const answer = z.object({
  httpStatus: z.number().int(),
  contentType: z.string().max(256),
  bodyBase64: z.string(),
  truncated: z.boolean(),
});

/** How the message travels: `region` is the shard's; a relayed one came from another region and is routed here once. */
const routeFields = {
  region: z.string().max(64),
  relayed: z.boolean(),
};

/** An ask on its way to the shard's owner. */
export const askMessage = z.object({
  ...routeFields,
  ask: z.object({
    key: digest,
    body: digest,
    claimId,
    claimer: vmRef.extend({ region: z.string().max(64) }),
    deadlineMs: z.number(),
  }),
});

/** A step of a claim on its way to the shard's owner. */
export const changeMessage = z.object({
  ...routeFields,
  change: z.object({
    key: digest,
    claimId,
    state: z.enum(["finished", "released", "abandoned"]),
    answer: answer.optional(),
  }),
  deadlineMs: z.number(),
});

/** A lookup on its way to the shard's owner. */
export const lookupMessage = z.object({
  ...routeFields,
  key: digest,
  deadlineMs: z.number(),
});

/** Grants on their way to a witness. `to` names its run: a restarted VM must not answer for its predecessor. */
export const replicateMessage = z.object({
  shard: z.number().int(),
  to: vmRef,
  message: z.object({
    epoch: z.number(),
    headRev: z.number(),
    nextN: z.number(),
    events: claimEvents,
  }),
});

/** A {@link ShardReply} between VMs: clocks differ, so a grant states how long it is valid from its sending on. */
export const wireReply = z.discriminatedUnion("type", [
  z.object({ type: z.literal("granted"), claimId, validForMs: z.number() }),
  z.object({ type: z.literal("answered"), answer }),
  z.object({
    type: z.enum([
      "none",
      "running",
      "unknown",
      "mismatch",
      "spent",
      "done",
    ]),
  }),
  z.object({ type: z.literal("unavailable"), retryAtMs: z.number() }),
  z.object({ type: z.literal("notOwner"), owner: vmRef.optional() }),
]);

/** See {@link wireReply}. */
export type WireReply = z.infer<typeof wireReply>;

/** A reply as it is sent. */
export function toWire(reply: ShardReply, monoMs: number): WireReply {
  if (reply.type !== "granted") return reply;
  const validForMs = reply.dispatchBeforeMonoMs - monoMs;
  return { type: "granted", claimId: reply.claimId, validForMs };
}

/**
 * A reply as it is used by the VM that asked at `askedMonoMs`. Its time is counted from the asking, which came before
 * the grant, so a VM that was paused meanwhile finds the grant over and does not dispatch.
 */
export function fromWire(reply: WireReply, askedMonoMs: number): ShardReply {
  if (reply.type !== "granted") return reply;
  const dispatchBeforeMonoMs = askedMonoMs + reply.validForMs;
  return { type: "granted", claimId: reply.claimId, dispatchBeforeMonoMs };
}
