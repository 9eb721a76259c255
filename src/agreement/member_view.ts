/**
 * Decides when two VMs whose views of the region differ must exchange all they know. Views differ while news is under
 * way, which mends itself; they go on differing where news was lost, which nothing else would mend.
 *
 * @module
 */

/** So many messages in a row that differ mean that something was lost. */
const DIFFERENT_VIEWS = 4;
/**
 * An exchange costs as many bytes as the region has VMs. Where it does not help (a VM that only some can reach is seen
 * differently for as long as that lasts) the next one waits longer.
 */
const FIRST_PAUSE_MS = 3000;
const MOST_PAUSE_MS = 60_000;

/** One VM's count of messages that differed. */
export class ViewCheck {
  #differences = 0;
  #pauseMs = FIRST_PAUSE_MS;
  #notBeforeMs = 0;

  /** A message came whose sender sees the same. */
  same(): void {
    this.#differences = 0;
    this.#pauseMs = FIRST_PAUSE_MS;
  }

  /** A message came whose sender sees something else; answers whether to exchange all with it now. */
  differs(nowMs: number): boolean {
    this.#differences++;
    if (this.#differences < DIFFERENT_VIEWS) return false;
    if (nowMs < this.#notBeforeMs) return false;
    this.#notBeforeMs = nowMs + this.#pauseMs;
    this.#pauseMs = Math.min(MOST_PAUSE_MS, 2 * this.#pauseMs);
    return true;
  }
}
