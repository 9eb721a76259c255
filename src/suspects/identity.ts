/**
 * Which attempts are the same request.
 *
 * @module
 */

import { digest64 } from "../base/mod.ts";

/** What makes a request the same one when it comes again, under another attempt and at another VM. */
export interface RequestIdentity {
  readonly host: string;
  /** Path with the query. */
  readonly target: string;
  /** Digest of the caller's key; `undefined` if it has none. */
  readonly keyDigest: string | undefined;
  readonly body: Uint8Array;
}

/** A hash that names a request in logs and between VMs; neither key nor body can be read from it. */
export function requestDigest(
  { host, target, keyDigest, body }: RequestIdentity,
): string {
  return digest64([host, target, keyDigest ?? "", body]);
}
