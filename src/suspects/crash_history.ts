/**
 * Records under which requests upstreams crashed, as far as all VMs reported it.
 *
 * @module
 */

/** Status of a request, which decides how it is handled. */
export type SuspectStatus =
  /** No crash counts against the request. */
  | "clear"
  /**
   * Upstreams crashed as the request began to run. It runs where a crash does the least harm, apart from other
   * suspects.
   */
  | "suspected"
  /**
   * Chance would not explain another crash. The request runs once more, with the store's permission, and is cleared or
   * rejected by the result.
   */
  | "onTrial"
  /** The request is not run. */
  | "rejected";

/**
 * A crash, as VMs report it to each other. The union of such rows is the same in whatever order and however often they
 * arrive. A row with `isCleared` voids the crash, since the request ran elsewhere without one.
 */
export type CrashRow = readonly [
  digest: string,
  upstreamKey: string,
  agoMs: number,
  isCleared: boolean,
];

/** Number of crashes that other causes may explain. One more run shows whether the request is the cause. */
export const CRASHES_BEFORE_TRIAL = 3;
/** Number of crashes with which a request is rejected. */
export const CRASHES_TO_REJECT = 4;
/** How long a crash counts. By then operators have replaced a program that crashes. */
const CRASH_TTL_MS = 30 * 60_000;
/** Maximum number of entries. An entry has some 300 bytes, so all of them take a megabyte. */
const MAX_ENTRIES = 4_096;
/** Number of entries that are evicted at once, so that a flood of entries does not sort all of them each time. */
const EVICTION_BATCH = 256;
/** Maximum number of upstreams in an entry. Those that are cleared make room for others; further ones change nothing. */
const MAX_UPSTREAMS_PER_REQUEST = 16;

/** Maximum number of rows that are sent again each time: those of one message. */
const MAX_RESENT_ROWS = 20;
/** Maximum number of rows of the worst requests among them. The others take turns for the rest. */
const MAX_WORST_ROWS = 14;

interface Crash {
  readonly atMs: number;
  isCleared: boolean;
}

type Crashes = Map<string, Crash>;
type Entry = readonly [digest: string, crashes: Crashes];

/** Records the crashes of upstreams for each request. Times are on the monotonic clock of this VM. */
export class CrashHistory {
  readonly #entries = new Map<string, Crashes>();
  #hasSuspects = false;
  /** Number of rows whose turn to be sent again is over. */
  #turn = 0;

  /**
   * Whether any request is suspected; if not, no request needs to be hashed. The expiry of crashes shows here only
   * after the next sweep.
   */
  get hasSuspects(): boolean {
    return this.#hasSuspects;
  }

  get size(): number {
    return this.#entries.size;
  }

  /**
   * Notes that an upstream crashed as the request, sent there at `sentMs`, began to run. Returns the rows that are new
   * to other VMs. An upstream may be back before its entry has the key of its new start, so a crash from before the
   * send is a different one and the new crash gets another name.
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

  /**
   * Clears the request, which ran without crashing its upstream: none of its crashes so far counts against it. Returns
   * the rows that are new to other VMs.
   */
  clear(digest: string, nowMs: number): CrashRow[] {
    const crashes = this.#entries.get(digest) ?? new Map<string, Crash>();
    const rows = [...crashes].filter(([, { isCleared }]) => !isCleared)
      .map(([key, { atMs }]): CrashRow => [digest, key, nowMs - atMs, true]);
    return this.merge(rows, nowMs);
  }

  /** Merges rows from another VM. Returns the rows that were new. */
  merge(rows: readonly CrashRow[], nowMs: number): CrashRow[] {
    const newRows = rows.filter((row) => this.#mergeRow(row, nowMs));
    if (this.#entries.size > MAX_ENTRIES) this.#evict(nowMs);
    if (newRows.length > 0) this.#updateHasSuspects(nowMs);
    return newRows;
  }

  /** Whether anything is known of a request, also if it is cleared. */
  has(digest: string): boolean {
    return this.#entries.has(digest);
  }

  /** Number of crashes that count against a request. */
  crashCount(digest: string, nowMs: number): number {
    const crashes = this.#entries.get(digest);
    return crashes ? countActive(crashes, nowMs) : 0;
  }

  /** Upstreams that crashed under a request. */
  crashedUpstreams(digest: string): string[] {
    return [...this.#entries.get(digest) ?? []]
      .filter(([, { isCleared }]) => !isCleared).map(([key]) => key);
  }

  /** The upstreams of the crashes of a request: those that count, and those that are cleared or have expired. */
  splitUpstreams(
    digest: string,
    nowMs: number,
  ): { readonly counting: string[]; readonly past: string[] } {
    const counting: string[] = [];
    const past: string[] = [];
    for (const [key, crash] of this.#entries.get(digest) ?? []) {
      if (isActive(crash, nowMs)) counting.push(key);
      else past.push(key);
    }
    return { counting, past };
  }

  statusOf(digest: string, nowMs: number): SuspectStatus {
    const crashes = this.crashCount(digest, nowMs);
    if (crashes >= CRASHES_TO_REJECT) return "rejected";
    if (crashes >= CRASHES_BEFORE_TRIAL) return "onTrial";
    return crashes > 0 ? "suspected" : "clear";
  }

  /** Time until a rejected request may run again, when enough of its crashes have expired. */
  rejectedForMs(digest: string, nowMs: number): number {
    const latestFirst = [...this.#entries.get(digest)?.values() ?? []]
      .filter((crash) => isActive(crash, nowMs)).map(({ atMs }) => atMs)
      .sort((a, b) => b - a);
    const lastToExpire = latestFirst.at(CRASHES_TO_REJECT - 1);
    return lastToExpire === undefined ? 0 : lastToExpire + CRASH_TTL_MS - nowMs;
  }

  /** Returns a crash as it is known here; `undefined` if it is not, or has expired. */
  rowOf(
    digest: string,
    upstreamKey: string,
    nowMs: number,
  ): CrashRow | undefined {
    const crash = this.#entries.get(digest)?.get(upstreamKey);
    if (!crash || isExpired(crash, nowMs)) return undefined;
    return toRow(digest, upstreamKey, crash, nowMs);
  }

  /** Returns all crashes that have not expired, cleared ones included. */
  rows(nowMs: number): CrashRow[] {
    return rowsOf([...this.#entries], nowMs);
  }

  /**
   * Returns the rows that are sent again this time: those of the requests with the most crashes, and some of all others.
   * The others take turns, cleared ones included, so that a VM that was cut off learns of each after some time.
   */
  takeRowsToResend(nowMs: number): CrashRow[] {
    const isWorst = ([, crashes]: Entry) => countActive(crashes, nowMs) > 1;
    const entries = [...this.#entries];
    const worst = entries.filter(isWorst).sort(([, a], [, b]) =>
      countActive(b, nowMs) - countActive(a, nowMs)
    );
    const worstRows = rowsOf(worst, nowMs);
    const first = worstRows.slice(0, MAX_WORST_ROWS);
    const others = [
      ...worstRows.slice(MAX_WORST_ROWS),
      ...rowsOf(entries.filter((entry) => !isWorst(entry)), nowMs),
    ];
    return [...first, ...this.#takeTurns(others, first.length)];
  }

  /** Returns the next rows in turn, as many as there is room for beside `taken` ones. */
  #takeTurns(rows: readonly CrashRow[], taken: number): CrashRow[] {
    const room = MAX_RESENT_ROWS - taken;
    if (rows.length <= room) return [...rows];
    const start = this.#turn % rows.length;
    this.#turn = start + room;
    return [...rows.slice(start), ...rows.slice(0, start)].slice(0, room);
  }

  /** Removes entries in which all crashes have expired. */
  sweep(nowMs: number): void {
    for (const [digest, crashes] of this.#entries) {
      const haveExpired = [...crashes.values()]
        .every((crash) => isExpired(crash, nowMs));
      if (haveExpired) this.#entries.delete(digest);
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
      const isFull = crashes.size >= MAX_UPSTREAMS_PER_REQUEST;
      if (isFull && (isCleared || !dropOldestCleared(crashes))) return false;
      crashes.set(key, { atMs: nowMs - agoMs, isCleared });
      return true;
    }
    if (known.isCleared || !isCleared) return false;
    known.isCleared = true;
    return true;
  }

  /**
   * Evicts the entries with the fewest crashes, so that a flood of requests with one crash each goes before a request
   * with several.
   */
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

function isExpired({ atMs }: Crash, nowMs: number): boolean {
  return nowMs - atMs >= CRASH_TTL_MS;
}

function isActive(crash: Crash, nowMs: number): boolean {
  return !crash.isCleared && !isExpired(crash, nowMs);
}

function toRow(
  digest: string,
  upstreamKey: string,
  { atMs, isCleared }: Crash,
  nowMs: number,
): CrashRow {
  return [digest, upstreamKey, Math.round(nowMs - atMs), isCleared];
}

function rowsOf(entries: readonly Entry[], nowMs: number): CrashRow[] {
  return entries.flatMap(([digest, crashes]) =>
    [...crashes].filter(([, crash]) => !isExpired(crash, nowMs))
      .map(([key, crash]) => toRow(digest, key, crash, nowMs))
  );
}

/** Drops the oldest crash that is cleared. Returns whether there was one. */
function dropOldestCleared(crashes: Crashes): boolean {
  const [oldest] = [...crashes].filter(([, { isCleared }]) => isCleared)
    .sort(([, a], [, b]) => a.atMs - b.atMs);
  if (!oldest) return false;
  return crashes.delete(oldest[0]);
}

function countActive(crashes: Crashes, nowMs: number): number {
  let sum = 0;
  for (const crash of crashes.values()) if (isActive(crash, nowMs)) sum++;
  return sum;
}
