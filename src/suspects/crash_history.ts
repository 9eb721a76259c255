/**
 * Under which requests upstreams ended, as far as all VMs told.
 *
 * @module
 */

/** How a request stands, and so what is done with it. */
export type SuspectStatus =
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
export type CrashRow = readonly [
  digest: string,
  upstreamKey: string,
  agoMs: number,
  isCleared: boolean,
];

/** Ends that other causes may bring about; one more run tells. */
export const CRASHES_BEFORE_TRIAL = 3;
/** Ends with which a request is rejected. */
export const CRASHES_TO_REJECT = 4;
/** An end counts this long; operators have replaced a program that crashes by then. */
const CRASH_TTL_MS = 30 * 60_000;
/** Entries, some 300 bytes each: a megabyte. */
const MAX_ENTRIES = 4_096;
/** Dropped together when there are more, so that a flood does not sort all of them each time. */
const EVICTION_BATCH = 256;
/** Upstreams an entry names; what is beyond changes nothing. */
const MAX_UPSTREAMS_PER_REQUEST = 16;

/** Rows that are told again each time: those of one message. */
const MAX_RESENT_ROWS = 20;

interface Crash {
  readonly atMs: number;
  isCleared: boolean;
}

type Crashes = Map<string, Crash>;

/** See the module. Times are of the monotonic clock of this VM. */
export class CrashHistory {
  readonly #entries = new Map<string, Crashes>();
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
  noteCrash(
    digest: string,
    upstreamKey: string,
    sentMs: number,
    nowMs: number,
  ): CrashRow[] {
    const crashes = this.#entries.get(digest);
    let crashName = upstreamKey;
    for (
      let occurrence = 2;
      (crashes?.get(crashName)?.atMs ?? Infinity) < sentMs;
      occurrence++
    ) {
      crashName = `${upstreamKey}/${occurrence}`;
    }
    return this.merge([[digest, crashName, 0, false]], nowMs);
  }

  /** The request ran without ending its upstream: nothing so far speaks against it. Returns what is new for others. */
  clear(digest: string, nowMs: number): CrashRow[] {
    const crashes = this.#entries.get(digest) ?? new Map<string, Crash>();
    const rows = [...crashes].filter(([, { isCleared }]) => !isCleared)
      .map(([key, { atMs }]): CrashRow => [digest, key, nowMs - atMs, true]);
    return this.merge(rows, nowMs);
  }

  /** Takes in what another VM told. Returns the rows that were new. */
  merge(rows: readonly CrashRow[], nowMs: number): CrashRow[] {
    const newRows = rows.filter((row) => this.#mergeRow(row, nowMs));
    if (this.#entries.size > MAX_ENTRIES) this.#evict(nowMs);
    if (newRows.length > 0) this.#updateHasSuspects(nowMs);
    return newRows;
  }

  /** Ends that count against a request. */
  crashCount(digest: string, nowMs: number): number {
    const crashes = this.#entries.get(digest);
    return crashes ? countActive(crashes, nowMs) : 0;
  }

  /** Upstreams that ended under a request. */
  crashedUpstreams(digest: string): string[] {
    return [...this.#entries.get(digest) ?? []]
      .filter(([, { isCleared }]) => !isCleared).map(([key]) => key);
  }

  statusOf(digest: string, nowMs: number): SuspectStatus {
    const crashes = this.crashCount(digest, nowMs);
    if (crashes >= CRASHES_TO_REJECT) return "rejected";
    if (crashes >= CRASHES_BEFORE_TRIAL) return "onTrial";
    return crashes > 0 ? "suspected" : "clear";
  }

  /** Time until a rejected request may run again, as enough of its ends no longer count. */
  rejectedForMs(digest: string, nowMs: number): number {
    const latestFirst = [...this.#entries.get(digest)?.values() ?? []]
      .filter((crash) => isActive(crash, nowMs)).map(({ atMs }) => atMs)
      .sort((a, b) => b - a);
    const lastToExpire = latestFirst.at(CRASHES_TO_REJECT - 1);
    return lastToExpire === undefined ? 0 : lastToExpire + CRASH_TTL_MS - nowMs;
  }

  /** What is told again and again: rows of the requests with most ends, of those with more than one. */
  worstRows(nowMs: number): CrashRow[] {
    return [...this.#entries]
      .filter(([, crashes]) => countActive(crashes, nowMs) > 1)
      .sort(([, a], [, b]) => countActive(b, nowMs) - countActive(a, nowMs))
      .flatMap(([digest, crashes]) =>
        [...crashes].map(([key, { atMs, isCleared }]): CrashRow => [
          digest,
          key,
          Math.round(nowMs - atMs),
          isCleared,
        ])
      ).slice(0, MAX_RESENT_ROWS);
  }

  /** Drops entries of which nothing counts any more. */
  sweep(nowMs: number): void {
    for (const [digest, crashes] of this.#entries) {
      const isExpired = [...crashes.values()]
        .every(({ atMs }) => nowMs - atMs >= CRASH_TTL_MS);
      if (isExpired) this.#entries.delete(digest);
    }
    this.#updateHasSuspects(nowMs);
  }

  #updateHasSuspects(nowMs: number): void {
    this.#hasSuspects = false;
    for (const crashes of this.#entries.values()) {
      if (countActive(crashes, nowMs) === 0) continue;
      this.#hasSuspects = true;
      return;
    }
  }

  dump(nowMs: number): unknown {
    return [...this.#entries].map(([request, crashes]) => ({
      request,
      standing: this.statusOf(request, nowMs),
      ends: Object.fromEntries(
        [...crashes].map(([key, { atMs, isCleared }]) => [
          key,
          { agoMs: Math.round(nowMs - atMs), isCleared },
        ]),
      ),
    }));
  }

  #mergeRow([digest, key, agoMs, isCleared]: CrashRow, nowMs: number): boolean {
    if (agoMs >= CRASH_TTL_MS) return false;
    let crashes = this.#entries.get(digest);
    if (!crashes) this.#entries.set(digest, crashes = new Map());
    const known = crashes.get(key);
    if (!known) {
      if (crashes.size >= MAX_UPSTREAMS_PER_REQUEST) return false;
      crashes.set(key, { atMs: nowMs - agoMs, isCleared });
      return true;
    }
    if (known.isCleared || !isCleared) return false;
    known.isCleared = true;
    return true;
  }

  /** A flood of requests with an end each goes before one with several. */
  #evict(nowMs: number): void {
    const entries = [...this.#entries].map(([digest, crashes]) => ({
      digest,
      count: countActive(crashes, nowMs),
      lastMs: Math.max(...[...crashes.values()].map(({ atMs }) => atMs)),
    })).sort((a, b) => a.count - b.count || a.lastMs - b.lastMs);
    for (const { digest } of entries.slice(0, EVICTION_BATCH)) {
      this.#entries.delete(digest);
    }
  }
}

function isActive({ atMs, isCleared }: Crash, nowMs: number): boolean {
  return !isCleared && nowMs - atMs < CRASH_TTL_MS;
}

function countActive(crashes: Crashes, nowMs: number): number {
  let sum = 0;
  for (const crash of crashes.values()) if (isActive(crash, nowMs)) sum++;
  return sum;
}
