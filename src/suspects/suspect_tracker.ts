/**
 * What a VM knows of suspects, whom it tells, and whether a request may run.
 *
 * @module
 */

import {
  CRASHES_BEFORE_TRIAL,
  CrashHistory,
  type CrashRow,
  type SuspectStatus,
} from "./crash_history.ts";

/** What this VM itself saw is told again for so long, should those who were told be cut off or change. */
const OWN_RESEND_MS = 10_000;
/** When to come back while the request runs elsewhere for the last time: the run shows within it what it does. */
const TRIAL_RETRY_AFTER_MS = 2_000;

/** A suspect as it stands in the store. */
export interface StoredSuspect {
  readonly digest: string;
  /** The upstreams that ended under it, as rows of the book name them. */
  readonly upstreams: readonly string[];
}

/** What became of a suspect, for logs and metrics. */
export type SuspectEvent =
  | {
    readonly type: "ended";
    readonly request: string;
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
    /** Whether it runs with the leave that a trial needs. */
    readonly hasLeave: boolean;
  }
  | {
    readonly type: "refused";
    readonly code: "endsUpstreams" | "onTrialElsewhere";
    readonly comeBackMs: number;
  };

/** What the store holds of suspects; nothing is tried again here. */
export abstract class SuspectRecords {
  /** All that stand there; `undefined` if the store did not say. */
  abstract list(): Promise<readonly StoredSuspect[] | undefined>;
  /** Writes a suspect down, so that it outlives a restart of all VMs. Resolves to whether it stands there. */
  abstract put(suspect: StoredSuspect): Promise<boolean>;
  /** Takes the leave to run a suspect once more, which one VM has at a time; `false` also if the store is away. */
  abstract acquireTrial(digest: string): Promise<boolean>;
  /** Strikes a suspect and its trial out. */
  abstract delete(digest: string): Promise<void>;
}

/** A {@link SuspectTracker}'s ways to the other VMs and to the log. */
export abstract class SuspectPublisher {
  /** Tells rows to the VMs that have to know. What is lost is told again. */
  abstract publish(rows: readonly CrashRow[]): void;
  abstract noteEvent(event: SuspectEvent): void;
}

/** See the module. */
export class SuspectTracker {
  readonly #publisher: SuspectPublisher;
  readonly #records: SuspectRecords;
  readonly #nowMs: () => number;
  readonly #history = new CrashHistory();
  #ownCrashes: {
    readonly rows: readonly CrashRow[];
    readonly seenMs: number;
  }[] = [];

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

  /** Whether any request is suspected; else none needs to be looked at. */
  get hasSuspects(): boolean {
    return this.#history.hasSuspects;
  }

  statusOf(digest: string): SuspectStatus {
    return this.#history.statusOf(digest, this.#nowMs());
  }

  /** The upstreams that ended under a request. */
  crashedUpstreams(digest: string): readonly string[] {
    return this.#history.crashedUpstreams(digest);
  }

  dump(): unknown {
    return this.#history.dump(this.#nowMs());
  }

  /** Whether a request may run now. `hasLeave` if it was given the leave for its trial already. */
  async decide(digest: string, hasLeave: boolean): Promise<SuspectVerdict> {
    const standing = this.statusOf(digest);
    if (standing === "rejected") return this.#reject(digest);
    if (standing !== "onTrial" || hasLeave) return { type: "runs", hasLeave };
    const isTaken = await this.#records.acquireTrial(digest);
    this.#publisher.noteEvent({ type: "trial", request: digest, isTaken });
    // Its last run may have ended elsewhere meanwhile.
    if (this.statusOf(digest) === "rejected") return this.#reject(digest);
    return isTaken ? { type: "runs", hasLeave: true } : {
      type: "refused",
      code: "onTrialElsewhere",
      comeBackMs: TRIAL_RETRY_AFTER_MS,
    };
  }

  /**
   * Notes that an upstream ended as a request, which had been there for `sentAgoMs`, began to run, and tells the others.
   * Returns the name of the end, for who handed the request over.
   */
  noteCrash(digest: string, upstreamKey: string, sentAgoMs: number): string {
    const nowMs = this.#nowMs();
    const sentMs = nowMs - sentAgoMs;
    const rows = this.#history.noteCrash(digest, upstreamKey, sentMs, nowMs);
    if (rows.length === 0) return upstreamKey;
    const [[, upstream]] = rows;
    const crashCount = this.#history.crashCount(digest, nowMs);
    const standing = this.statusOf(digest);
    this.#publisher.noteEvent({
      type: "ended",
      request: digest,
      upstream,
      ends: crashCount,
      standing,
    });
    this.#publishOwn(rows, nowMs);
    if (crashCount >= CRASHES_BEFORE_TRIAL) void this.#storeSuspect(digest);
    return upstream;
  }

  /** The VM that a request was handed to says that an upstream ended under it there; that VM tells the others. */
  noteRemoteCrash(digest: string, crashName: string): void {
    this.#history.merge([[digest, crashName, 0, false]], this.#nowMs());
  }

  /** A request ran and ended nothing; of no effect unless it was suspected. */
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
    if (crashCount >= CRASHES_BEFORE_TRIAL) void this.#records.delete(digest);
  }

  /** Takes in what another VM told. Returns what was new here. */
  merge(rows: readonly CrashRow[]): CrashRow[] {
    return this.#history.merge(rows, this.#nowMs());
  }

  /** Takes in what all VMs knew before they were started again. Resolves to whether the store told. */
  async loadRecords(): Promise<boolean> {
    const stored = await this.#records.list();
    const rows = stored?.flatMap(({ digest, upstreams }) =>
      upstreams.map((upstream): CrashRow => [digest, upstream, 0, false])
    );
    this.merge(rows ?? []);
    return stored !== undefined;
  }

  /** To be called every second or two: what was told may be lost. `speaksForRegion` tells what all VMs saw, else its own. */
  republish(shouldSendAll: boolean): void {
    const nowMs = this.#nowMs();
    this.#history.sweep(nowMs);
    this.#ownCrashes = this.#ownCrashes.filter(({ seenMs }) =>
      nowMs - seenMs < OWN_RESEND_MS
    );
    const rows = shouldSendAll
      ? this.#history.worstRows(nowMs)
      : this.#ownCrashes.flatMap(({ rows }) => rows);
    if (rows.length > 0) this.#publisher.publish(rows);
  }

  #publishOwn(rows: readonly CrashRow[], nowMs: number): void {
    this.#ownCrashes.push({ rows, seenMs: nowMs });
    this.#publisher.publish(rows);
  }

  #reject(digest: string): SuspectVerdict {
    const comeBackMs = this.#history.rejectedForMs(digest, this.#nowMs());
    return { type: "refused", code: "endsUpstreams", comeBackMs };
  }

  async #storeSuspect(digest: string): Promise<void> {
    const upstreams = this.#history.crashedUpstreams(digest);
    if (await this.#records.put({ digest, upstreams })) return;
    this.#publisher.noteEvent({ type: "notStored", request: digest });
  }
}
