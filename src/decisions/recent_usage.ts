/**
 * What each workspace used recently, compared with its share.
 *
 * @module
 */

/**
 * Time constant with which past use decays: longer than an answer, but short enough that callers of a workspace wrongly
 * found over its share do not give up.
 */
const WINDOW_MS = 5000;
/**
 * A workspace is over its share above this multiple of it; a lower one could be reached by chance with a few long
 * prompts.
 */
const OVER_SHARE_FACTOR = 2;
/**
 * Its use must also exceed this part of all use: where many workspaces share a pool, twice a small share delays no
 * other workspace.
 */
const MIN_OVER_SHARE = 0.2;
/** Use older than this many windows is negligible. */
const IDLE_WINDOWS = 4;
const MIN_SWEEP_WORKSPACES = 256;

interface DecayedUse {
  work: number;
  weight: number;
  atMs: number;
}

/**
 * The recent use of each workspace. Queue order cannot show this: a workspace that is alone in the queue always goes
 * next.
 */
export class RecentUsage {
  readonly #byWorkspace = new Map<string, DecayedUse>();
  #totalWork = 0;
  #totalAtMs = 0;
  #totalWeight = 0;
  #sweepAtSize = MIN_SWEEP_WORKSPACES;
  #sweptAtMs = 0;

  add(workspace: string, weight: number, work: number, nowMs: number): void {
    this.#sweep(nowMs);
    const used = this.#byWorkspace.get(workspace);
    if (!used) {
      this.#byWorkspace.set(workspace, { work, weight, atMs: nowMs });
      this.#totalWeight += weight;
    } else {
      used.work = used.work * decay(nowMs - used.atMs) + work;
      used.atMs = nowMs;
    }
    this.#totalWork = this.#totalWork * decay(nowMs - this.#totalAtMs) + work;
    this.#totalAtMs = nowMs;
  }

  /** Whether the workspace uses far more than its share while others use the pool too. */
  isOverShare(workspace: string, nowMs: number): boolean {
    const used = this.#byWorkspace.get(workspace);
    if (!used || this.#byWorkspace.size < 2) return false;
    const own = used.work * decay(nowMs - used.atMs);
    const all = this.#totalWork * decay(nowMs - this.#totalAtMs);
    if (all < 1) return false;
    const fairShare = used.weight / this.#totalWeight;
    return own > all * Math.max(MIN_OVER_SHARE, OVER_SHARE_FACTOR * fairShare);
  }

  // Sweeps run at most once per window unless many workspaces are new, so that the cost of a step does not grow with
  // their number.
  #sweep(nowMs: number): void {
    const due = nowMs - this.#sweptAtMs > WINDOW_MS;
    if (!due && this.#byWorkspace.size < this.#sweepAtSize) return;
    this.#sweptAtMs = nowMs;
    for (const [workspace, used] of this.#byWorkspace) {
      if (nowMs - used.atMs < IDLE_WINDOWS * WINDOW_MS) continue;
      this.#byWorkspace.delete(workspace);
      this.#totalWeight -= used.weight;
    }
    this.#sweepAtSize = Math.max(
      MIN_SWEEP_WORKSPACES,
      2 * this.#byWorkspace.size,
    );
  }
}

function decay(passedMs: number): number {
  return Math.exp(-Math.max(0, passedMs) / WINDOW_MS);
}
