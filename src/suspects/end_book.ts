/**
 * Under which requests upstreams ended, as far as all VMs told.
 *
 * @module
 */

/** How a request stands, and so what is done with it. */
export type Standing =
  /** Nothing is known against it. */
  | "clear"
  /** Upstreams ended as it began to run: it runs where an end harms least, apart from other suspects. */
  | "suspected"
  /** Chance explains no more ends: it runs once more, with the store's leave, and is cleared or rejected by that. */
  | "onTrial"
  /** It is not run. */
  | "rejected";

/**
 * An end, as VMs tell each other: a union of such rows is the same in whatever order and however often they come. A row
 * with `isCleared` voids the end, since the request ran elsewhere without one.
 */
export type EndNews = readonly [
  digest: string,
  upstreamKey: string,
  agoMs: number,
  isCleared: boolean,
];

/** Ends that other causes may bring about; one more run tells. */
export const ENDS_BEFORE_TRIAL = 3;
/** Ends with which a request is rejected. */
export const ENDS_TO_REJECT = 4;
/** An end counts this long; operators have replaced a program that crashes by then. */
const COUNTS_MS = 30 * 60_000;
/** Entries, some 300 bytes each: a megabyte. */
const MOST_ENTRIES = 4_096;
/** Dropped together when there are more, so that a flood does not sort all of them each time. */
const DROPPED_TOGETHER = 256;
/** Upstreams an entry names; what is beyond changes nothing. */
const MOST_UPSTREAMS = 16;

/** Rows that are told again each time: those of one message. */
const MOST_TOLD_AGAIN = 20;

interface End {
  readonly atMs: number;
  isCleared: boolean;
}

type Ends = Map<string, End>;

/** See the module. Times are of the monotonic clock of this VM. */
export class EndBook {
  readonly #entries = new Map<string, Ends>();
  #hasSuspects = false;

  /** Whether any request is suspected; else none needs to be hashed. Ends that no longer count are seen by a sweep. */
  get hasSuspects(): boolean {
    return this.#hasSuspects;
  }

  get size(): number {
    return this.#entries.size;
  }

  /**
   * Notes that an upstream ended as the request, sent there at `sentMs`, began to run. Returns what is new for others. An
   * upstream may be back before its entry names its new start: an end of before the send is another one.
   */
  noteEnd(
    digest: string,
    upstreamKey: string,
    sentMs: number,
    nowMs: number,
  ): EndNews[] {
    const ends = this.#entries.get(digest);
    let name = upstreamKey;
    for (let again = 2; (ends?.get(name)?.atMs ?? Infinity) < sentMs; again++) {
      name = `${upstreamKey}/${again}`;
    }
    return this.adopt([[digest, name, 0, false]], nowMs);
  }

  /** The request ran without ending its upstream: nothing so far speaks against it. Returns what is new for others. */
  clear(digest: string, nowMs: number): EndNews[] {
    const ends = this.#entries.get(digest) ?? new Map<string, End>();
    const rows = [...ends].filter(([, { isCleared }]) => !isCleared)
      .map(([key, { atMs }]): EndNews => [digest, key, nowMs - atMs, true]);
    return this.adopt(rows, nowMs);
  }

  /** Takes in what another VM told. Returns the rows that were new. */
  adopt(rows: readonly EndNews[], nowMs: number): EndNews[] {
    const isNew = rows.filter((row) => this.#take(row, nowMs));
    if (this.#entries.size > MOST_ENTRIES) this.#dropLeast(nowMs);
    if (isNew.length > 0) this.#lookForSuspects(nowMs);
    return isNew;
  }

  /** Ends that count against a request. */
  ends(digest: string, nowMs: number): number {
    const ends = this.#entries.get(digest);
    return ends ? count(ends, nowMs) : 0;
  }

  /** Upstreams that ended under a request. */
  upstreams(digest: string): string[] {
    return [...this.#entries.get(digest) ?? []]
      .filter(([, { isCleared }]) => !isCleared).map(([key]) => key);
  }

  standing(digest: string, nowMs: number): Standing {
    const ends = this.ends(digest, nowMs);
    if (ends >= ENDS_TO_REJECT) return "rejected";
    if (ends >= ENDS_BEFORE_TRIAL) return "onTrial";
    return ends > 0 ? "suspected" : "clear";
  }

  /** Time until a rejected request may run again, as enough of its ends no longer count. */
  rejectedForMs(digest: string, nowMs: number): number {
    const latestFirst = [...this.#entries.get(digest)?.values() ?? []]
      .filter((end) => counts(end, nowMs)).map(({ atMs }) => atMs)
      .sort((a, b) => b - a);
    const lastToGo = latestFirst.at(ENDS_TO_REJECT - 1);
    return lastToGo === undefined ? 0 : lastToGo + COUNTS_MS - nowMs;
  }

  /** What is told again and again: rows of the requests with most ends, of those with more than one. */
  worst(nowMs: number): EndNews[] {
    return [...this.#entries]
      .filter(([, ends]) => count(ends, nowMs) > 1)
      .sort(([, a], [, b]) => count(b, nowMs) - count(a, nowMs))
      .flatMap(([digest, ends]) =>
        [...ends].map(([key, { atMs, isCleared }]): EndNews => [
          digest,
          key,
          Math.round(nowMs - atMs),
          isCleared,
        ])
      ).slice(0, MOST_TOLD_AGAIN);
  }

  /** Drops entries of which nothing counts any more. */
  sweep(nowMs: number): void {
    for (const [digest, ends] of this.#entries) {
      const isOver = [...ends.values()]
        .every(({ atMs }) => nowMs - atMs >= COUNTS_MS);
      if (isOver) this.#entries.delete(digest);
    }
    this.#lookForSuspects(nowMs);
  }

  #lookForSuspects(nowMs: number): void {
    this.#hasSuspects = false;
    for (const ends of this.#entries.values()) {
      if (count(ends, nowMs) === 0) continue;
      this.#hasSuspects = true;
      return;
    }
  }

  dump(nowMs: number): unknown {
    return [...this.#entries].map(([request, ends]) => ({
      request,
      standing: this.standing(request, nowMs),
      ends: Object.fromEntries(
        [...ends].map(([key, { atMs, isCleared }]) => [
          key,
          { agoMs: Math.round(nowMs - atMs), isCleared },
        ]),
      ),
    }));
  }

  #take([digest, key, agoMs, isCleared]: EndNews, nowMs: number): boolean {
    if (agoMs >= COUNTS_MS) return false;
    let ends = this.#entries.get(digest);
    if (!ends) this.#entries.set(digest, ends = new Map());
    const known = ends.get(key);
    if (!known) {
      if (ends.size >= MOST_UPSTREAMS) return false;
      ends.set(key, { atMs: nowMs - agoMs, isCleared });
      return true;
    }
    if (known.isCleared || !isCleared) return false;
    known.isCleared = true;
    return true;
  }

  /** A flood of requests with an end each goes before one with several. */
  #dropLeast(nowMs: number): void {
    const least = [...this.#entries].map(([digest, ends]) => ({
      digest,
      count: count(ends, nowMs),
      lastMs: Math.max(...[...ends.values()].map(({ atMs }) => atMs)),
    })).sort((a, b) => a.count - b.count || a.lastMs - b.lastMs);
    for (const { digest } of least.slice(0, DROPPED_TOGETHER)) {
      this.#entries.delete(digest);
    }
  }
}

function counts({ atMs, isCleared }: End, nowMs: number): boolean {
  return !isCleared && nowMs - atMs < COUNTS_MS;
}

function count(ends: Ends, nowMs: number): number {
  let sum = 0;
  for (const end of ends.values()) if (counts(end, nowMs)) sum++;
  return sum;
}
