/**
 * Identifies attempts that belong to the same request.
 *
 * @module
 */

import { digest64 } from "../base/mod.ts";

/** What identifies a request when it comes again, in another attempt and at another VM. */
export interface RequestIdentity {
  readonly host: string;
  /** Path with the query. */
  readonly target: string;
  /** Digest of the caller's key; `undefined` if the caller has none. */
  readonly keyDigest: string | undefined;
  readonly body: Uint8Array;
}

/**
 * Returns a hash that identifies a request in logs and between VMs. Neither the key nor the body can be read from it.
 */
export function requestDigest(
  { host, target, keyDigest, body }: RequestIdentity,
): string {
  return digest64([host, target, keyDigest ?? "", body]);
}
