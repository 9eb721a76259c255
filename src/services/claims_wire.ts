/**
 * Schemas of the messages about claims that VMs send each other.
 *
 * @module
 */

import { z } from "zod";
import { claimEvents, type ShardReply } from "../agreement/mod.ts";

/** Method names for {@link Transport.handle}. */
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

/** Routing fields: `region` is the shard's region. The receiver of a relayed message sends it on to the owner, once. */
const routeFields = {
  region: z.string().max(64),
  relayed: z.boolean(),
};

/** A claim, sent to the shard's owner. */
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

/** A change of a claim's state, sent to the shard's owner. */
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

/** A lookup, sent to the shard's owner. */
export const lookupMessage = z.object({
  ...routeFields,
  key: digest,
  deadlineMs: z.number(),
});

/** Grants, sent to a witness. `to` includes the incarnation: a restarted VM must not answer for its earlier run. */
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

/** A {@link ShardReply} between VMs. Because clocks differ, a grant says for how long after sending it is valid. */
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

/** The type of {@link wireReply}. */
export type WireReply = z.infer<typeof wireReply>;

/** Converts a reply to the form in which it is sent. */
export function toWire(reply: ShardReply, monoMs: number): WireReply {
  if (reply.type !== "granted") return reply;
  const validForMs = reply.dispatchBeforeMonoMs - monoMs;
  return { type: "granted", claimId: reply.claimId, validForMs };
}

/**
 * Converts a received reply for the VM that asked at `askedMonoMs`. The validity of a grant is counted from then, which
 * is before the grant was made. So a VM that was paused in between finds the grant expired and does not dispatch.
 */
export function fromWire(reply: WireReply, askedMonoMs: number): ShardReply {
  if (reply.type !== "granted") return reply;
  const dispatchBeforeMonoMs = askedMonoMs + reply.validForMs;
  return { type: "granted", claimId: reply.claimId, dispatchBeforeMonoMs };
}
