/**
 * The events of a shard's log that record its claims, and the index of these claims that the owner answers from.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { hash32 } from "../base/mod.ts";
import type { ClaimAnswer, ClaimKey } from "./claim.ts";

/** One run of a VM's process. A VM restarted under the same id has a higher incarnation. */
export interface VmRef {
  readonly id: string;
  readonly incarnation: number;
}

/** The VM that a claim was granted to. The owner detects failures only of VMs in the shard's own region. */
export interface Claimer extends VmRef {
  readonly region: string;
}

/** Whether both name the same run of the same VM. */
export function sameVm(a: VmRef, b: VmRef): boolean {
  return a.id === b.id && a.incarnation === b.incarnation;
}

/** State of a claim. `released` means that nothing was sent and the key may be claimed again. */
export type ClaimState = "claimed" | "finished" | "released" | "abandoned";

/**
 * One state change of a claim. Each event is complete in itself: the one with the highest `n` gives the key's status.
 */
export interface ClaimEvent {
  /** Position in the shard's log. It only increases and is never reused. */
  readonly n: number;
  /** Digest of the {@link ClaimKey}. */
  readonly key: string;
  /** Digest of the body with which the key was first used. */
  readonly body: string;
  readonly claimId: string;
  /** The VM that was allowed to dispatch. */
  readonly claimer: Claimer;
  readonly state: ClaimState;
  readonly atMs: number;
  readonly answer?: ClaimAnswer;
}

/** Returns the size of an event in the store. */
export function eventBytes(event: ClaimEvent): number {
  return JSON.stringify(event).length + 1;
}

/** Returns the digest under which a key is stored: 128 bits, so that two keys in use do not collide. */
export function keyDigest(key: ClaimKey): string {
  return digest(JSON.stringify([key.service, key.workspace, key.key]), 16);
}

/** Returns the digest of a body. It only has to detect that a key is reused for another body by mistake. */
export function bodyDigest(body: string): string {
  return digest(body, 8);
}

/**
 * Creates the short string directly: a slice of a longer digest would keep the whole digest in memory for each claim.
 */
function digest(text: string, bytes: number): string {
  const hash = createHash("sha256").update(text).digest();
  return hash.toString("base64url", 0, bytes);
}

/** Returns the shard of a key among `shardCount`. */
export function shardOf(digest: string, shardCount: number): number {
  return hash32(digest) % shardCount;
}

/** A VM's request to the owner. The VM generates `claimId` itself, so that a retry after a lost answer is harmless. */
export interface ClaimRequest {
  readonly key: string;
  readonly body: string;
  readonly claimId: string;
  readonly claimer: Claimer;
  /** Wall-clock time after which the caller no longer waits. */
  readonly deadlineMs: number;
}

/** Status of a key with respect to a request. Only `free` lets the call run. */
export type KeyStatus =
  | { readonly type: "free" }
  /** Already granted to this claim id. */
  | { readonly type: "mine" }
  /** The claim with this id was withdrawn. */
  | { readonly type: "spent" }
  | { readonly type: "running" | "unknown" | "mismatch" }
  | { readonly type: "answered"; readonly answer: ClaimAnswer };

/** Maximum number of claimer objects kept for sharing; it bounds the map while VMs come and go. */
const MAX_INTERNED_CLAIMERS = 1000;

/** Index of a shard's claims within retention, by key, the least recently changed first. */
export class ClaimIndex {
  readonly #byKey = new Map<string, ClaimEvent>();
  /** One shared object per claimer, because there are few claimers and many claims. */
  readonly #claimers = new Map<string, Claimer>();

  get size(): number {
    return this.#byKey.size;
  }

  get(key: string): ClaimEvent | undefined {
    return this.#byKey.get(key);
  }

  /** Applies an event, unless a newer one is known for its key, so that replays in any order give the same result. */
  apply(event: ClaimEvent): void {
    const known = this.#byKey.get(event.key);
    if (known && known.n >= event.n) return;
    this.#byKey.delete(event.key);
    const claimer = this.#intern(event.claimer);
    this.#byKey.set(event.key, { ...event, claimer });
  }

  #intern(claimer: Claimer): Claimer {
    const name = `${claimer.id}/${claimer.incarnation}`;
    const known = this.#claimers.get(name);
    if (known) return known;
    if (this.#claimers.size >= MAX_INTERNED_CLAIMERS) this.#claimers.clear();
    this.#claimers.set(name, claimer);
    return claimer;
  }

  /** Removes the claims that last changed before `beforeMs`. */
  expire(beforeMs: number): void {
    for (const [key, event] of this.#byKey) {
      if (event.atMs >= beforeMs) return;
      this.#byKey.delete(key);
    }
  }

  /**
   * Returns the status of a key. If the claimer is gone, the outcome of its call is unknown: the claimer may have ended
   * before or after the dispatch. A released claim id stays spent, because a late duplicate of its request would claim
   * the key with no caller waiting.
   */
  keyStatus(
    request: Pick<ClaimRequest, "key" | "body" | "claimId">,
    isGone: (event: ClaimEvent) => boolean,
  ): KeyStatus {
    const known = this.#byKey.get(request.key);
    if (!known) return { type: "free" };
    if (known.state === "released") {
      return { type: known.claimId === request.claimId ? "spent" : "free" };
    }
    if (known.body !== request.body) return { type: "mismatch" };
    if (known.answer) return { type: "answered", answer: known.answer };
    if (known.state !== "claimed") return { type: "unknown" };
    if (known.claimId === request.claimId) return { type: "mine" };
    return { type: isGone(known) ? "unknown" : "running" };
  }
}
