/**
 * Refusals of what the configuration in force here does not allow.
 *
 * @module
 */

import { type Failure, failure } from "../base/mod.ts";
import type { StoreView } from "../replication/mod.ts";

/** Retry delay at a VM without the newest configuration, which asks the store and other VMs several times a second. */
export const NO_CONFIG_RETRY_MS = 500;

/** What the caller is told. */
export interface ConfigRefusal {
  readonly cause: Failure;
  /** When the caller may come back, in milliseconds; 0 if it need not. */
  readonly comeBackMs: number;
}

/**
 * Refuses for good if the configuration is known to be the newest one. Callers don't come back after that, so a VM that
 * can't rule out a newer one refuses for now: another VM may have it.
 */
export function refusalBy(
  { isConfigNewest }: Pick<StoreView, "isConfigNewest">,
  cause: Failure,
): ConfigRefusal {
  if (isConfigNewest) return { cause, comeBackMs: 0 };
  const unsure = failure("noTable", {
    message: `${cause.code}, unless there is a newer configuration`,
  });
  return { cause: unsure, comeBackMs: NO_CONFIG_RETRY_MS };
}
