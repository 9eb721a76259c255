/**
 * What each workspace used lately, against its share.
 *
 * @module
 */

/** Time over which use is forgotten: longer than an answer, shorter than a caller's patience with a wrong verdict. */
const WINDOW_MS = 5000;
/** A workspace is over its share above this multiple of it; below, a few long prompts move it there by chance. */
const OVER = 2;
/** And above this part of all use: where many share a pool, twice a small share takes nothing from anyone. */
const LEAST_OVER = 0.2;
/** Use older than this many windows is as good as none. */
const IDLE_WINDOWS = 4;
const SWEEP_FLOWS = 256;

interface Used {
  work: number;
  weight: number;
  atMs: number;
}

/** See the module. Queue order cannot tell this: a workspace alone in the queue is always next in turn. */
export class Usage {
  readonly #used = new Map<string, Used>();
  #total = 0;
  #totalAtMs = 0;
  #weight = 0;
  #sweepAt = SWEEP_FLOWS;
  #sweptAtMs = 0;

  add(flow: string, weight: number, work: number, nowMs: number): void {
    this.#sweep(nowMs);
    const used = this.#used.get(flow);
    if (!used) {
      this.#used.set(flow, { work, weight, atMs: nowMs });
      this.#weight += weight;
    } else {
      used.work = used.work * decay(nowMs - used.atMs) + work;
      used.atMs = nowMs;
    }
    this.#total = this.#total * decay(nowMs - this.#totalAtMs) + work;
    this.#totalAtMs = nowMs;
  }

  /** Whether the workspace uses far more than its share while others are about. */
  isOver(flow: string, nowMs: number): boolean {
    const used = this.#used.get(flow);
    if (!used || this.#used.size < 2) return false;
    const own = used.work * decay(nowMs - used.atMs);
    const all = this.#total * decay(nowMs - this.#totalAtMs);
    if (all < 1) return false;
    const fair = used.weight / this.#weight;
    return own > all * Math.max(LEAST_OVER, OVER * fair);
  }

  // At most once a window unless many are new, so that the cost of a step does not grow with the workspaces.
  #sweep(nowMs: number): void {
    const due = nowMs - this.#sweptAtMs > WINDOW_MS;
    if (!due && this.#used.size < this.#sweepAt) return;
    this.#sweptAtMs = nowMs;
    for (const [flow, used] of this.#used) {
      if (nowMs - used.atMs < IDLE_WINDOWS * WINDOW_MS) continue;
      this.#used.delete(flow);
      this.#weight -= used.weight;
    }
    this.#sweepAt = Math.max(SWEEP_FLOWS, 2 * this.#used.size);
  }
}

function decay(passedMs: number): number {
  return Math.exp(-Math.max(0, passedMs) / WINDOW_MS);
}
