/**
 * Stable hashing for placement by rendezvous (highest random weight), and digests for secrets.
 *
 * @module
 */

import { createHash, timingSafeEqual } from "node:crypto";
import xxhash from "xxhash-wasm";

const { h32, create64 } = await xxhash();

/** A 32-bit hash of a string, the same on every VM. */
export function hash32(text: string): number {
  return h32(text);
}

/** A 64-bit hash of some pieces in order, in hex, the same on every VM. The boundaries between pieces affect the hash. */
export function digest64(pieces: readonly (string | Uint8Array)[]): string {
  const hash = create64();
  for (const piece of pieces) {
    const bytes = typeof piece === "string" ? Buffer.from(piece) : piece;
    hash.update(`${bytes.length}:`).update(bytes);
  }
  return hash.digest().toString(16).padStart(16, "0");
}

/** Mixes two 32-bit hashes into one: a rendezvous weight at a hundredth of the cost of hashing both names again. */
export function mix32(a: number, b: number): number {
  let mixed = (a ^ Math.imul(b, 0x9e3779b1)) >>> 0;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * Orders `members` for `key` by rendezvous hashing, best first. Leads and shard owners are chosen this way because, when a
 * member leaves, only the keys move for which it was the best member, and each moves to its own next best member.
 */
export function rendezvous<T>(
  key: string,
  members: readonly T[],
  idOf: (member: T) => string,
): T[] {
  return members
    .map((member) => ({
      member,
      id: idOf(member),
      score: h32(`${key}\u0000${idOf(member)}`),
    }))
    .sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
    .map((scored) => scored.member);
}

/** The SHA-256 digest of a secret, in hex. The settings and the table contain it instead of the secret. */
export function secretDigest(secret: string): string {
  return createHash("sha256").update(secret).digest("hex");
}

/** Whether the secret has this digest, compared in constant time. */
export function secretMatches(secret: string, digest: string): boolean {
  const wanted = Buffer.from(digest, "hex");
  const actual = createHash("sha256").update(secret).digest();
  return wanted.length === actual.length && timingSafeEqual(wanted, actual);
}
