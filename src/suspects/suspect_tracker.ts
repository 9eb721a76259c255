/**
 * Tracks suspects on a VM, reports crashes to other VMs, and decides whether a request may run.
 *
 * @module
 */

import {
  CRASHES_BEFORE_TRIAL,
  CrashHistory,
  type CrashRow,
  type SuspectStatus,
} from "./crash_history.ts";
import type { Traits } from "./traits.ts";

/**
 * How long this VM resends in any case the crashes that it observed itself, in case the VMs that got them are cut off or
 * replaced.
 */
const OWN_RESEND_MS = 10_000;
/** Maximum number of rows that are resent each time after that, until the VM that sends those of all VMs knows them. */
const MAX_UNHEARD_ROWS = 20;
/**
 * When callers should retry while the request runs elsewhere for the last time. Within this time that run shows whether
 * it crashes its upstream.
 */
const TRIAL_RETRY_AFTER_MS = 2_000;

/** Maximum number of records in the store whose failed writes are retried each time. */
const MAX_RECORD_RETRIES = 5;

/** A suspect as it is stored. */
export interface StoredSuspect {
  readonly digest: string;
  /** The upstreams that crashed under the request, as the rows of the history name them. */
  readonly upstreams: readonly string[];
}

/** What a VM knows of a suspect as it stores it. */
export interface SuspectUpdate extends StoredSuspect {
  /** Upstreams whose crashes do not count any more. */
  readonly past: readonly string[];
}

/** An event of a suspect, for logs and metrics. */
export type SuspectEvent =
  | {
    readonly type: "ended";
    readonly request: string;
    /** The hashes of the shared parts of its prompt. */
    readonly parts: string;
    readonly upstream: string;
    readonly ends: number;
    readonly standing: SuspectStatus;
  }
  | {
    readonly type: "cleared";
    readonly request: string;
    readonly ends: number;
  }
  | {
    readonly type: "trial";
    readonly request: string;
    readonly isTaken: boolean;
  }
  | { readonly type: "notStored"; readonly request: string };

/** Whether a request may run, and if not, what its caller is told. */
export type SuspectVerdict =
  | {
    readonly type: "runs";
    /** Whether the request runs with the permission that a trial needs. */
    readonly hasLeave: boolean;
  }
  | {
    readonly type: "refused";
    readonly code: "endsUpstreams" | "onTrialElsewhere";
    readonly comeBackMs: number;
  };

/** The suspects in the store. Failed operations are not retried here, but by the {@link SuspectTracker}. */
export abstract class SuspectRecords {
  /** Lists all suspects in the store; `undefined` if the store did not answer. */
  abstract list(): Promise<readonly StoredSuspect[] | undefined>;
  /**
   * Stores a suspect, so that it survives a restart of all VMs. Crashes that other VMs stored are kept, except for past
   * ones. Resolves to whether it is stored.
   */
  abstract put(suspect: SuspectUpdate): Promise<boolean>;
  /**
   * Acquires the permission to run a suspect once more, which one VM has at a time. Resolves to `false` also if the
   * store is unavailable.
   */
  abstract acquireTrial(digest: string): Promise<boolean>;
  /** Deletes a suspect and its trial. Resolves to whether they are deleted. */
  abstract delete(digest: string): Promise<boolean>;
}

/** Sends the rows of a {@link SuspectTracker} to other VMs, and its events to logs and metrics. */
export abstract class SuspectPublisher {
  /** Sends rows to the VMs that need them. Lost rows are sent again. */
  abstract publish(rows: readonly CrashRow[]): void;
  abstract noteEvent(event: SuspectEvent): void;
}

/** A crash that this VM has to tell others. Its row is looked up when it is sent, as it may be cleared by then. */
interface Untold {
  readonly digest: string;
  readonly upstreamKey: string;
  /** Until when it is resent in any case. */
  readonly untilMs: number;
  /** Whether the VM that sends the rows of all VMs has sent this one in the state in which it is known here. */
  isHeard: boolean;
}

/** Tracks the suspects on one VM and decides whether a request may run. */
export class SuspectTracker {
  readonly #publisher: SuspectPublisher;
  readonly #records: SuspectRecords;
  readonly #nowMs: () => number;
  readonly #history = new CrashHistory();
  /** By digest and upstream; those that were resent least recently come first. */
  readonly #untold = new Map<string, Untold>();
  #didSendAll = false;
  /** Requests whose record in the store may differ from what is known here; those tried least recently come first. */
  readonly #unstored = new Set<string>();
  /** Requests whose record is being written, by one write at a time, so that a slow one does not undo a later one. */
  readonly #storing = new Set<string>();

  /** `nowMs` is the monotonic clock. */
  constructor(
    publisher: SuspectPublisher,
    records: SuspectRecords,
    nowMs: () => number,
  ) {
    this.#publisher = publisher;
    this.#records = records;
    this.#nowMs = nowMs;
  }

  /** Whether any request is suspected; if not, no request needs to be checked. */
  get hasSuspects(): boolean {
    return this.#history.hasSuspects;
  }

  statusOf(digest: string): SuspectStatus {
    return this.#history.statusOf(digest, this.#nowMs());
  }

  /** The upstreams that crashed under a request. */
  crashedUpstreams(digest: string): readonly string[] {
    return this.#history.crashedUpstreams(digest);
  }

  dump(): unknown {
    return this.#history.dump(this.#nowMs());
  }

  /** Decides whether a request may run now. `hasLeave` is true if it already has the permission for its trial. */
  async decide(digest: string, hasLeave: boolean): Promise<SuspectVerdict> {
    const status = this.statusOf(digest);
    if (status === "rejected") return this.#reject(digest);
    if (status !== "onTrial" || hasLeave) return { type: "runs", hasLeave };
    const isTaken = await this.#records.acquireTrial(digest);
    this.#publisher.noteEvent({ type: "trial", request: digest, isTaken });
    // Meanwhile the request's run on another VM may have crashed an upstream.
    if (this.statusOf(digest) === "rejected") return this.#reject(digest);
    return isTaken ? { type: "runs", hasLeave: true } : {
      type: "refused",
      code: "onTrialElsewhere",
      comeBackMs: TRIAL_RETRY_AFTER_MS,
    };
  }

  /**
   * Notes that an upstream crashed as a request, sent there `sentAgoMs` ago, began to run, and reports it to other VMs.
   * Returns the name of the crash, for the VM that relayed the request.
   */
  noteCrash(traits: Traits, upstreamKey: string, sentAgoMs: number): string {
    const [digest, ...parts] = traits;
    const nowMs = this.#nowMs();
    const sentMs = nowMs - sentAgoMs;
    const rows = this.#history.noteCrash(digest, upstreamKey, sentMs, nowMs);
    if (rows.length === 0) return upstreamKey;
    const [[, upstream]] = rows;
    const crashCount = this.#history.crashCount(digest, nowMs);
    const status = this.statusOf(digest);
    this.#publisher.noteEvent({
      type: "ended",
      request: digest,
      parts: parts.join(),
      upstream,
      ends: crashCount,
      standing: status,
    });
    this.#publishOwn(rows, nowMs);
    if (crashCount >= CRASHES_BEFORE_TRIAL) void this.#updateRecord(digest);
    return upstream;
  }

  /**
   * Notes a crash under a request that was relayed, as the VM that it was relayed to reports it. That VM also informs
   * the others.
   */
  noteRemoteCrash(digest: string, crashName: string): void {
    this.#history.merge([[digest, crashName, 0, false]], this.#nowMs());
  }

  /** Clears a request that ran without a crash. It has no effect unless the request was suspected. */
  clear(digest: string): void {
    const nowMs = this.#nowMs();
    const crashCount = this.#history.crashCount(digest, nowMs);
    if (crashCount === 0) return;
    const rows = this.#history.clear(digest, nowMs);
    this.#publisher.noteEvent({
      type: "cleared",
      request: digest,
      ends: crashCount,
    });
    this.#publishOwn(rows, nowMs);
    if (crashCount >= CRASHES_BEFORE_TRIAL) void this.#updateRecord(digest);
  }

  /**
   * Merges rows from another VM; `isFromFirst` if that VM is the one that sends the rows of all VMs. Returns the rows
   * that were new here. A row that the other VM does not know to be cleared is answered with the next resend.
   */
  merge(rows: readonly CrashRow[], isFromFirst: boolean): CrashRow[] {
    const nowMs = this.#nowMs();
    const newRows = this.#history.merge(rows, nowMs);
    for (const row of rows) this.#compare(row, isFromFirst, nowMs);
    return newRows;
  }

  /** Loads the suspects that were stored before a restart of all VMs. Resolves to whether the store answered. */
  async loadRecords(): Promise<boolean> {
    const stored = await this.#records.list();
    const rows = stored?.flatMap(({ digest, upstreams }) =>
      upstreams.map((upstream): CrashRow => [digest, upstream, 0, false])
    );
    this.#history.merge(rows ?? [], this.#nowMs());
    return stored !== undefined;
  }

  /** Writes all records again, some with each call of {@link SuspectTracker.republish}: the store may have lost them. */
  storeAgain(): void {
    const nowMs = this.#nowMs();
    for (const [digest] of this.#history.rows(nowMs)) {
      const count = this.#history.crashCount(digest, nowMs);
      if (count >= CRASHES_BEFORE_TRIAL) this.#unstored.add(digest);
    }
  }

  /**
   * Sends rows again, because earlier messages may be lost; it is to be called every second or two. With
   * `shouldSendAll` it sends rows of all VMs in turn; one VM of a region does so. The others send what they saw or know
   * better, until that VM has sent it.
   */
  republish(shouldSendAll: boolean): void {
    const nowMs = this.#nowMs();
    this.#history.sweep(nowMs);
    // What was reported to this VM alone while it sent to all may be unknown to the VM that does so now.
    if (this.#didSendAll && !shouldSendAll) {
      this.#tell(this.#history.rows(nowMs), nowMs);
    }
    this.#didSendAll = shouldSendAll;
    this.#forgetTold(nowMs);
    this.#retryRecords();
    const rows = shouldSendAll
      ? this.#history.takeRowsToResend(nowMs)
      : this.#takeUntold(nowMs);
    if (rows.length > 0) this.#publisher.publish(rows);
  }

  #publishOwn(rows: readonly CrashRow[], nowMs: number): void {
    this.#tell(rows, nowMs + OWN_RESEND_MS);
    this.#publisher.publish(rows);
  }

  /** Has rows resent until `untilMs`, and after that until the VM that sends those of all VMs has sent them. */
  #tell(rows: readonly CrashRow[], untilMs: number): void {
    for (const [digest, upstreamKey] of rows) {
      const name = crashName(digest, upstreamKey);
      const longestMs = Math.max(untilMs, this.#untold.get(name)?.untilMs ?? 0);
      this.#untold.set(name, {
        digest,
        upstreamKey,
        untilMs: longestMs,
        isHeard: false,
      });
    }
  }

  /** Compares a row from another VM with what is known here after its merge. */
  #compare(row: CrashRow, isFromFirst: boolean, nowMs: number): void {
    const [digest, upstreamKey, , isCleared] = row;
    const known = this.#history.rowOf(digest, upstreamKey, nowMs);
    if (!known) return;
    const untold = this.#untold.get(crashName(digest, upstreamKey));
    const isAgreed = known[3] === isCleared;
    if (!isAgreed) this.#tell([known], nowMs);
    else if (untold && isFromFirst) untold.isHeard = true;
  }

  /** Forgets what others were told, and what has expired here. */
  #forgetTold(nowMs: number): void {
    for (const [name, untold] of this.#untold) {
      const { digest, upstreamKey, untilMs, isHeard } = untold;
      const isTold = isHeard && nowMs >= untilMs;
      const isKnown = this.#history.rowOf(digest, upstreamKey, nowMs);
      if (isTold || !isKnown) this.#untold.delete(name);
    }
  }

  /** Returns the rows to tell others this time. */
  #takeUntold(nowMs: number): CrashRow[] {
    const untold = [...this.#untold];
    const own = untold.filter(([, { untilMs }]) => nowMs < untilMs);
    const unheard = untold.filter(([, { untilMs }]) => nowMs >= untilMs)
      .slice(0, MAX_UNHEARD_ROWS);
    // Moved to the end of the map, they come last next time.
    for (const [name, row] of unheard) {
      this.#untold.delete(name);
      this.#untold.set(name, row);
    }
    return [...own, ...unheard]
      .map(([, { digest, upstreamKey }]) =>
        this.#history.rowOf(digest, upstreamKey, nowMs)
      ).filter((row) => row !== undefined);
  }

  #reject(digest: string): SuspectVerdict {
    const comeBackMs = this.#history.rejectedForMs(digest, this.#nowMs());
    return { type: "refused", code: "endsUpstreams", comeBackMs };
  }

  #retryRecords(): void {
    for (const digest of [...this.#unstored].slice(0, MAX_RECORD_RETRIES)) {
      // Moved to the end, it comes last next time.
      this.#unstored.delete(digest);
      if (this.#history.has(digest)) void this.#updateRecord(digest);
    }
  }

  /** Makes the record of a request in the store agree with what is known here. */
  async #updateRecord(digest: string): Promise<void> {
    this.#unstored.add(digest);
    if (this.#storing.has(digest)) return;
    this.#storing.add(digest);
    let isWritten = true;
    while (isWritten && this.#unstored.delete(digest)) {
      isWritten = await this.#writeRecord(digest);
    }
    if (!isWritten) this.#unstored.add(digest);
    this.#storing.delete(digest);
  }

  /** Stores a suspect, or deletes it if it is cleared. Resolves to whether the store did so. */
  async #writeRecord(digest: string): Promise<boolean> {
    const { counting, past } = this.#history
      .splitUpstreams(digest, this.#nowMs());
    if (counting.length < CRASHES_BEFORE_TRIAL) {
      return await this.#records.delete(digest);
    }
    const isStored = await this.#records
      .put({ digest, upstreams: counting, past });
    if (!isStored) {
      this.#publisher.noteEvent({ type: "notStored", request: digest });
    }
    return isStored;
  }
}

function crashName(digest: string, upstreamKey: string): string {
  return `${digest} ${upstreamKey}`;
}
