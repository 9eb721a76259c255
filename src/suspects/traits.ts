/**
 * What a request may crash upstreams by: itself as a whole, or a part of its prompt that other requests have too.
 *
 * @module
 */

import { digest64 } from "../base/mod.ts";

/**
 * Hashes that identify what a request may crash upstreams by: the request as a whole comes first, then the parts of its
 * prompt that it may share with others.
 */
export type Traits = readonly [request: string, ...parts: string[]];

/** Begins the hash of a part, which tells it from the hash of a whole request. */
const PART_MARK = "p";

/** Whether a trait is a part of prompts; otherwise it is a whole request. */
export function isPartTrait(trait: string): boolean {
  return trait.startsWith(PART_MARK);
}

/**
 * Returns the traits of a request. The last part of a prompt belongs to the request or its session, so it is no trait.
 * Services run different programs, so a part that crashes those of one says nothing of the others.
 */
export function traitsOf(
  requestDigest: string,
  service: string,
  partIds: readonly string[],
): Traits {
  const shared = new Set(partIds.slice(0, -1));
  const parts = [...shared].map((id) => PART_MARK + digest64([service, id]));
  return [requestDigest, ...parts];
}
