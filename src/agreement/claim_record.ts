/**
 * What is kept of a claim, as events of a shard's log, and the index of a shard's claims that its owner answers from.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { hash32 } from "../base/mod.ts";
import type { ClaimAnswer, ClaimKey } from "./claim.ts";

/** One run of a VM's process: a VM restarted under its old id has a higher incarnation. */
export interface VmRef {
  readonly id: string;
  readonly incarnation: number;
}

/** The VM that a claim was granted to. Only VMs of the shard's own region are seen to die. */
export interface Claimer extends VmRef {
  readonly region: string;
}

/** Whether both name the same run of the same VM. */
export function sameVm(a: VmRef, b: VmRef): boolean {
  return a.id === b.id && a.incarnation === b.incarnation;
}

/** How far a claim has come; `released`: nothing was sent, the key may be claimed again. */
export type ClaimState = "claimed" | "finished" | "released" | "abandoned";

/** One step in the life of a claim. Events stand on their own: the one with the highest `n` says how a key stands. */
export interface ClaimEvent {
  /** Place in the shard's log; only grows, never used twice. */
  readonly n: number;
  /** Digest of the {@link ClaimKey}. */
  readonly key: string;
  /** Digest of the body the key was first used with. */
  readonly body: string;
  readonly claimId: string;
  /** The VM that was allowed to dispatch. */
  readonly claimer: Claimer;
  readonly state: ClaimState;
  readonly atMs: number;
  readonly answer?: ClaimAnswer;
}

/** The bytes that an event takes in the store. */
export function eventBytes(event: ClaimEvent): number {
  return JSON.stringify(event).length + 1;
}

/** The digest a key is kept under: 128 bits, so that two keys in use do not meet. */
export function keyDigest(key: ClaimKey): string {
  return digest(JSON.stringify([key.service, key.workspace, key.key]), 16);
}

/** The digest a body is kept under: it only has to tell a mistaken reuse of a key. */
export function bodyDigest(body: string): string {
  return digest(body, 8);
}

/** The string is made anew: a slice of a longer digest would keep all of it in memory, for each claim. */
function digest(text: string, bytes: number): string {
  const hash = createHash("sha256").update(text).digest();
  return hash.toString("base64url", 0, bytes);
}

/** The shard of a key among `shardCount`. */
export function shardOf(digest: string, shardCount: number): number {
  return hash32(digest) % shardCount;
}

/** What a VM asks of the owner. It makes `claimId` itself, so that asking again after a lost answer is harmless. */
export interface ClaimRequest {
  readonly key: string;
  readonly body: string;
  readonly claimId: string;
  readonly claimer: Claimer;
  /** Wall clock; after it the caller no longer waits. */
  readonly deadlineMs: number;
}

/** How a key stands for an ask; `free` is the only one that lets it run. */
export type KeyStatus =
  | { readonly type: "free" }
  /** Granted to this very claim id. */
  | { readonly type: "mine" }
  /** The claim id was withdrawn. */
  | { readonly type: "spent" }
  | { readonly type: "running" | "unknown" | "mismatch" }
  | { readonly type: "answered"; readonly answer: ClaimAnswer };

/** Claimers remembered for sharing; VMs come and go. */
const MAX_INTERNED_CLAIMERS = 1000;

/** The claims of one shard within retention, by key, oldest change first. */
export class ClaimIndex {
  readonly #byKey = new Map<string, ClaimEvent>();
  /** One object for each claimer: there are few of them and many claims. */
  readonly #claimers = new Map<string, Claimer>();

  get size(): number {
    return this.#byKey.size;
  }

  get(key: string): ClaimEvent | undefined {
    return this.#byKey.get(key);
  }

  /** Takes in an event; an older one than is known is ignored, so that replays in any order end the same. */
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

  /** Forgets what last changed before `beforeMs`. */
  expire(beforeMs: number): void {
    for (const [key, event] of this.#byKey) {
      if (event.atMs >= beforeMs) return;
      this.#byKey.delete(key);
    }
  }

  /**
   * How a key stands. A claimer that is gone leaves its call's outcome unknown: it may have died on either side of
   * the dispatch. A released claim id stays spent, since a late duplicate of its ask would claim for nobody.
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
