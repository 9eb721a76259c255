/**
 * State changes of a claim, and the replies for a key whose call must not run.
 *
 * @module
 */

import type { ClaimChange, ShardReply } from "./claim_machine.ts";
import type { ClaimEvent, KeyStatus } from "./claim_record.ts";

/** Returns the change without the body of its answer if that exceeds `maxBytes` and would leave no room for claims. */
export function truncateAnswer(
  change: ClaimChange,
  maxBytes: number,
): ClaimChange {
  const { answer } = change;
  if (!answer || answer.bodyBase64.length <= maxBytes) return change;
  return { ...change, answer: { ...answer, bodyBase64: "", truncated: true } };
}

/** Makes event `n` from a change and the known state of its key; `undefined` if the change has no effect. */
export function makeChangeEvent(
  known: ClaimEvent | undefined,
  { key, claimId, state, answer }: ClaimChange,
  nowMs: number,
  n: number,
): ClaimEvent | undefined {
  const newState = { state, answer, atMs: nowMs };
  if (known?.claimId === claimId && known.state === "claimed") {
    return { ...known, ...newState, n };
  }
  // This release arrived before its claim. The claim, when it arrives, must not hold the key with no caller waiting.
  if (state !== "released" || (known && known.state !== "released")) {
    return undefined;
  }
  const claimer = { id: "", incarnation: 0, region: "" };
  return { ...newState, n, key, body: "", claimId, claimer };
}

/** Converts a key status that does not let the call run into the reply to the caller. */
export function toReply(status: KeyStatus): ShardReply {
  if (status.type === "answered") return status;
  if (status.type === "free") return { type: "none" };
  if (status.type === "mine") return { type: "running" };
  return { type: status.type };
}
