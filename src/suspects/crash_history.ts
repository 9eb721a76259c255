/**
 * Records under which requests upstreams crashed, as far as all VMs reported it.
 *
 * @module
 */

import {
  type Crash,
  type CrashRow,
  isActive,
  isExpired,
  toRow,
  trialCrashName,
  ttlMs,
  upstreamOf,
} from "./crash.ts";

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

/** Number of crashes that other causes may explain. One more run shows whether the request is the cause. */
export const CRASHES_BEFORE_TRIAL = 3;
/** Number of crashes with which a request is rejected. */
export const CRASHES_TO_REJECT = 4;
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

type Crashes = Map<string, Crash>;
type Entry = readonly [digest: string, crashes: Crashes];

/** Records the crashes of upstreams for each request. Times are on the monotonic clock of this VM. */
export class CrashHistory {
  readonly #entries = new Map<string, Crashes>();
  /** The traits of each upstream's crashes. */
  readonly #traitsAt = new Map<string, Set<string>>();
  #hasSuspects = false;
  #revision = 0;
  /** Number of rows whose turn to be sent again is over. */
  #turn = 0;

  /**
   * Whether any request is suspected; if not, no request needs to be hashed. The expiry of crashes shows here only
   * after the next sweep.
   */
  get hasSuspects(): boolean {
    return this.#hasSuspects;
  }

  /** Changes whenever a crash is noted or cleared. */
  get revision(): number {
    return this.#revision;
  }

  get size(): number {
    return this.#entries.size;
  }

  /**
   * Notes that an upstream crashed as the request, sent there at `sentMs`, began to run. Returns the rows that are new
   * to other VMs. An upstream may be back before its entry has the key of its new start, so a crash from before the
   * send is a different one and the new crash gets another name. `trialRequest` is the request that ran as a trial, if it
   * was one.
   */
  noteCrash(
    digest: string,
    upstreamKey: string,
    sentMs: number,
    nowMs: number,
    trialRequest?: string,
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
    const name = trialRequest === undefined
      ? crashName
      : trialCrashName(crashName, trialRequest);
    return this.merge([[digest, name, 0, false]], nowMs);
  }

  /**
   * Clears what ran without crashing its upstream: none of its crashes up to `beganMs`, the begin of that run, counts
   * against it. Returns the rows that are new to other VMs.
   */
  clear(digest: string, nowMs: number, beganMs = nowMs): CrashRow[] {
    const crashes = this.#entries.get(digest) ?? new Map<string, Crash>();
    const rows = [...crashes]
      .filter(([, { isCleared, atMs }]) => !isCleared && atMs <= beganMs)
      .map(([key, { atMs }]): CrashRow => [digest, key, nowMs - atMs, true]);
    return this.merge(rows, nowMs);
  }

  /** Merges rows from another VM. Returns the rows that were new. */
  merge(rows: readonly CrashRow[], nowMs: number): CrashRow[] {
    const newRows = rows.filter((row) => this.#mergeRow(row, nowMs));
    if (this.#entries.size > MAX_ENTRIES) this.#evict(nowMs);
    if (newRows.length > 0) {
      this.#revision++;
      this.#updateHasSuspects(nowMs);
    }
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

  /** The names and times of the crashes that count against a trait. */
  activeCrashes(
    trait: string,
    nowMs: number,
  ): (readonly [name: string, atMs: number])[] {
    return [...this.#entries.get(trait) ?? []]
      .filter(([name, crash]) => isActive(name, crash, nowMs))
      .map(([name, { atMs }]) => [name, atMs]);
  }

  /** The upstreams whose crashes count against a trait. */
  activeUpstreams(trait: string, nowMs: number): string[] {
    const names = this.activeCrashes(trait, nowMs).map(([name]) => name);
    return [...new Set(names.map(upstreamOf))];
  }

  /** Whether the crash of an upstream counts against a trait. */
  hasCrashed(trait: string, upstream: string, nowMs: number): boolean {
    for (const [name, crash] of this.#entries.get(trait) ?? []) {
      if (upstreamOf(name) === upstream && isActive(name, crash, nowMs)) {
        return true;
      }
    }
    return false;
  }

  /** Whether a crash counts against a trait. */
  isActive(trait: string, name: string, nowMs: number): boolean {
    const crash = this.#entries.get(trait)?.get(name);
    return crash !== undefined && isActive(name, crash, nowMs);
  }

  /** Number of crashes of which a later run cleared a trait. */
  clearedCount(trait: string): number {
    return [...this.#entries.get(trait)?.values() ?? []]
      .filter(({ isCleared }) => isCleared).length;
  }

  /** The traits that had just come to an upstream as it crashed, those that are cleared of it included. */
  traitsAt(upstream: string): readonly string[] {
    return [...this.#traitsAt.get(upstream) ?? []];
  }

  /** All traits of which anything is known. */
  traits(): Iterable<string> {
    return this.#entries.keys();
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
      if (isActive(key, crash, nowMs)) counting.push(key);
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
    const expiries = this.activeCrashes(digest, nowMs)
      .map(([name, atMs]) => atMs + ttlMs(name))
      .sort((a, b) => b - a);
    const expiryMs = expiries.at(CRASHES_TO_REJECT - 1);
    return expiryMs === undefined ? 0 : expiryMs - nowMs;
  }

  /** Returns a crash as it is known here; `undefined` if it is not, or has expired. */
  rowOf(
    digest: string,
    upstreamKey: string,
    nowMs: number,
  ): CrashRow | undefined {
    const crash = this.#entries.get(digest)?.get(upstreamKey);
    if (!crash || isExpired(upstreamKey, crash, nowMs)) return undefined;
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
      const haveExpired = [...crashes]
        .every(([name, crash]) => isExpired(name, crash, nowMs));
      if (haveExpired) this.#delete(digest);
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
    if (agoMs >= ttlMs(key)) return false;
    let crashes = this.#entries.get(digest);
    if (!crashes) this.#entries.set(digest, crashes = new Map());
    const known = crashes.get(key);
    if (!known) {
      const isFull = crashes.size >= MAX_UPSTREAMS_PER_REQUEST;
      if (isFull && (isCleared || !this.#dropOldestCleared(digest))) {
        return false;
      }
      crashes.set(key, { atMs: nowMs - agoMs, isCleared });
      const upstream = upstreamOf(key);
      const traits = this.#traitsAt.get(upstream) ?? new Set();
      this.#traitsAt.set(upstream, traits.add(digest));
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
      this.#delete(digest);
    }
  }

  #delete(digest: string): void {
    for (const key of this.#entries.get(digest)?.keys() ?? []) {
      this.#forgetAt(key, digest);
    }
    this.#entries.delete(digest);
  }

  #forgetAt(key: string, digest: string): void {
    const upstream = upstreamOf(key);
    const traits = this.#traitsAt.get(upstream);
    traits?.delete(digest);
    if (traits?.size === 0) this.#traitsAt.delete(upstream);
  }

  /** Drops the oldest crash of which a trait is cleared. Returns whether there was one. */
  #dropOldestCleared(digest: string): boolean {
    const crashes = this.#entries.get(digest);
    const [oldest] = [...crashes ?? []].filter(([, { isCleared }]) => isCleared)
      .sort(([, a], [, b]) => a.atMs - b.atMs);
    if (!crashes || !oldest) return false;
    const [name] = oldest;
    crashes.delete(name);
    const isSame = (key: string) => upstreamOf(key) === upstreamOf(name);
    if (![...crashes.keys()].some(isSame)) this.#forgetAt(name, digest);
    return true;
  }
}

function rowsOf(entries: readonly Entry[], nowMs: number): CrashRow[] {
  return entries.flatMap(([digest, crashes]) =>
    [...crashes].filter(([key, crash]) => !isExpired(key, crash, nowMs))
      .map(([key, crash]) => toRow(digest, key, crash, nowMs))
  );
}

function countActive(crashes: Crashes, nowMs: number): number {
  let sum = 0;
  for (const [name, crash] of crashes) if (isActive(name, crash, nowMs)) sum++;
  return sum;
}
