/**
 * Decides when two VMs whose views of the region differ must exchange all they know. Views differ while news is under
 * way, which mends itself; they go on differing where news was lost, which nothing else would mend.
 *
 * @module
 */

/** So many messages in a row that differ mean that something was lost. */
const DIFFERENCES_BEFORE_SYNC = 4;
/**
 * An exchange costs as many bytes as the region has VMs. Where it does not help (a VM that only some can reach is seen
 * differently for as long as that lasts) the next one waits longer.
 */
const MIN_SYNC_INTERVAL_MS = 3000;
const MAX_SYNC_INTERVAL_MS = 60_000;

/** One VM's count of messages that differed. */
export class SyncTrigger {
  #differences = 0;
  #intervalMs = MIN_SYNC_INTERVAL_MS;
  #nextSyncMs = 0;

  /** A message came whose sender sees the same. */
  recordSame(): void {
    this.#differences = 0;
    this.#intervalMs = MIN_SYNC_INTERVAL_MS;
  }

  /** A message came whose sender sees something else; answers whether to exchange all with it now. */
  recordDifference(nowMs: number): boolean {
    this.#differences++;
    if (this.#differences < DIFFERENCES_BEFORE_SYNC) return false;
    if (nowMs < this.#nextSyncMs) return false;
    this.#nextSyncMs = nowMs + this.#intervalMs;
    this.#intervalMs = Math.min(MAX_SYNC_INTERVAL_MS, 2 * this.#intervalMs);
    return true;
  }
}
