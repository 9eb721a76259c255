/**
 * Decides when two VMs whose views of the region differ must exchange all their records. Views differ while news is in
 * transit, which resolves itself. They keep differing if news was lost, which only an exchange repairs.
 *
 * @module
 */

/** This many consecutive messages with a different view mean that news was lost. */
const DIFFERENCES_BEFORE_SYNC = 4;
/**
 * Minimum and maximum interval between exchanges. The size of an exchange is proportional to the number of VMs in the
 * region. If an exchange does not help, the interval doubles: a VM that only some others can reach is seen differently
 * as long as that lasts.
 */
const MIN_SYNC_INTERVAL_MS = 3000;
const MAX_SYNC_INTERVAL_MS = 60_000;

/** Counts the consecutive messages whose sender has a different view. */
export class SyncTrigger {
  #differences = 0;
  #intervalMs = MIN_SYNC_INTERVAL_MS;
  #nextSyncMs = 0;

  /** Records a message whose sender has the same view. */
  recordSame(): void {
    this.#differences = 0;
    this.#intervalMs = MIN_SYNC_INTERVAL_MS;
  }

  /** Records a message whose sender has a different view. Returns whether to exchange all records with it now. */
  recordDifference(nowMs: number): boolean {
    this.#differences++;
    if (this.#differences < DIFFERENCES_BEFORE_SYNC) return false;
    if (nowMs < this.#nextSyncMs) return false;
    this.#nextSyncMs = nowMs + this.#intervalMs;
    this.#intervalMs = Math.min(MAX_SYNC_INTERVAL_MS, 2 * this.#intervalMs);
    return true;
  }
}
