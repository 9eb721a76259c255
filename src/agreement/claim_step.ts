/**
 * Steps of a claim, and what is told of a key that nothing may run for.
 *
 * @module
 */

import type { ClaimChange, ShardReply } from "./claim_machine.ts";
import type { ClaimEvent, KeyStatus } from "./claim_record.ts";

/** The change, with its answer less the body where that exceeds `mostBytes` and would crowd out claims. */
export function truncateAnswer(
  change: ClaimChange,
  maxBytes: number,
): ClaimChange {
  const { answer } = change;
  if (!answer || answer.bodyBase64.length <= maxBytes) return change;
  return { ...change, answer: { ...answer, bodyBase64: "", truncated: true } };
}

/** The event with number `n` that a step makes of what is known of its key; `undefined` if it changes nothing. */
export function makeChangeEvent(
  known: ClaimEvent | undefined,
  { key, claimId, state, answer }: ClaimChange,
  nowMs: number,
  n: number,
): ClaimEvent | undefined {
  const step = { state, answer, atMs: nowMs };
  if (known?.claimId === claimId && known.state === "claimed") {
    return { ...known, ...step, n };
  }
  // A release that overtakes its claim: the claim, when it comes, must not hold the key for nobody.
  if (state !== "released" || (known && known.state !== "released")) {
    return undefined;
  }
  const claimer = { id: "", incarnation: 0, region: "" };
  return { ...step, n, key, body: "", claimId, claimer };
}

/** A standing that lets nothing run, as it is told to who asked. */
export function toReply(status: KeyStatus): ShardReply {
  if (status.type === "answered") return status;
  if (status.type === "free") return { type: "none" };
  if (status.type === "mine") return { type: "running" };
  return { type: status.type };
}
