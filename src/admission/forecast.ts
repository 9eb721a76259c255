/**
 * Forecasts when places at the upstreams come free, from how long requests hold them.
 *
 * @module
 */

/**
 * Estimate before any observation: a short streamed answer. It has the weight of {@link MIN_REQUESTS} requests.
 */
const INITIAL_HOLD_MS = 2_000;
/** An engine's first step alone takes longer, so a shorter estimate comes from counts that don't belong together. */
const MIN_HOLD_MS = 25;
/** Upstreams that end no request at all would otherwise make the estimate grow without bound. */
const MAX_HOLD_MS = 120_000;
/**
 * Age at which an observation has lost most of its weight. Callers are refused by the estimate, so it has to follow a
 * change of the load within seconds.
 */
const SMOOTHING_MS = 2_000;
/** Observations of fewer requests than this keep their weight: at low rates two seconds contain hardly one. */
const MIN_REQUESTS = 8;
/** After a longer gap between notes, the number of running requests in between is unknown. */
const MAX_GAP_MS = 1_000;
/**
 * Growth of the running requests beyond the grants, as a share of them, that is taken for reports that are late. A
 * larger one comes from VMs that the lead has just begun to hear.
 */
const MAX_UNGRANTED_SHARE = 0.05;
/** Growth beyond the grants that is always taken for late reports. */
const MAX_UNGRANTED = 2;

interface Note {
  readonly running: number;
  readonly granted: number;
  readonly nowMs: number;
}

function isCount(count: number): boolean {
  return count >= 0 && count <= Number.MAX_SAFE_INTEGER;
}

/** Whether the counts of a note follow from those of the note before it. */
function isContinued(last: Note, next: Note): boolean {
  const elapsedMs = next.nowMs - last.nowMs;
  const grants = next.granted - last.granted;
  const ungranted = next.running - last.running - grants;
  return elapsedMs > 0 && elapsedMs <= MAX_GAP_MS && grants >= 0 &&
    ungranted <= Math.max(MAX_UNGRANTED, next.running * MAX_UNGRANTED_SHARE);
}

/**
 * Learns how long a request holds its place at an upstream, by Little's law: the time spent by all running requests,
 * divided by the number of requests that passed. This is the mean of those that began (the grants) and those that ended
 * (the grants minus the growth of the running requests). Of equal requests that begin together, none ends for a while;
 * counting only the ended ones, the estimate would grow without bound until then, and with the mean it about doubles.
 */
export class HoldTime {
  #last: Note | undefined;
  /** Decaying sums of the time spent by running requests, and of the requests that passed. */
  #spentMs = INITIAL_HOLD_MS * MIN_REQUESTS;
  #passed = MIN_REQUESTS;

  /** Estimated time for which a request holds its place, in ms. */
  get holdMs(): number {
    return this.#spentMs / this.#passed;
  }

  /**
   * Notes the counts of a lead: requests running now, and grants so far. To be called every 100 ms or so; counts that
   * don't follow from the previous ones only start a new series.
   */
  note(running: number, granted: number, nowMs: number): void {
    if (!isCount(running) || !isCount(granted) || !Number.isFinite(nowMs)) {
      return;
    }
    const last = this.#last;
    if (last?.nowMs === nowMs) return;
    this.#last = { running, granted, nowMs };
    const growth = running - (last?.running ?? 0);
    if (!last || !isContinued(last, this.#last)) return this.#adopt(growth);
    const elapsedMs = nowMs - last.nowMs;
    const grants = granted - last.granted;
    const spentMs = elapsedMs * (running + last.running) / 2;
    if (spentMs === 0 && grants === 0) return;
    const kept = this.#keptShare(running, elapsedMs);
    this.#add(spentMs, grants - growth / 2, kept);
  }

  /**
   * Counts requests whose grants were not seen as half passed, with the estimated time. Otherwise, if they all end late,
   * the estimate would be far too long until then.
   */
  #adopt(requests: number): void {
    if (requests <= 0) return;
    this.#spentMs += this.holdMs * requests / 2;
    this.#passed += requests / 2;
  }

  #add(spentMs: number, passed: number, kept: number): void {
    this.#passed = Math.max(1, this.#passed * kept + passed);
    this.#spentMs = Math.min(
      MAX_HOLD_MS * this.#passed,
      Math.max(MIN_HOLD_MS * this.#passed, this.#spentMs * kept + spentMs),
    );
  }

  /**
   * Share of the weight that earlier observations keep. Little's law holds over times in which at least as many requests
   * pass as run; with fewer, the start of a request would be forgotten before its end.
   */
  #keptShare(running: number, elapsedMs: number): number {
    return Math.max(
      Math.exp(-elapsedMs / SMOOTHING_MS),
      Math.min(1, Math.max(MIN_REQUESTS, running) / this.#passed),
    );
  }
}

/** Number of places that come free per second, if all are taken; 0 if none ever does. */
export function placesPerS(slots: number, holdMs: number): number {
  if (!(slots > 0) || !(holdMs < Infinity)) return 0;
  return slots * 1_000 / Math.max(holdMs, MIN_HOLD_MS);
}

/**
 * Time until the request behind `entriesAhead` others gets a place, in ms. It takes one place more than there are
 * entries ahead. Infinity if no place ever comes free.
 */
export function forecastWaitMs(
  entriesAhead: number,
  placesPerS: number,
): number {
  const ahead = entriesAhead > 0 ? entriesAhead : 0;
  if (!(placesPerS > 0) || ahead === Infinity) return Infinity;
  return (ahead + 1) / placesPerS * 1_000;
}
