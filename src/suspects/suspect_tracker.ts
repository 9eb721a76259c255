/**
 * Tracks suspects on a VM, reports crashes to other VMs, and decides whether a request may run.
 *
 * @module
 */

import { type Blame, findBlame } from "./blame.ts";
import { type CrashRow, isTrialCrash } from "./crash.ts";
import {
  CRASHES_BEFORE_TRIAL,
  CrashHistory,
  type SuspectStatus,
} from "./crash_history.ts";
import type { SuspectRecords } from "./suspect_records.ts";
import { isPartTrait, type Traits } from "./traits.ts";
import { type TrialPacing, Trials } from "./trials.ts";
import { UntoldCrashes } from "./untold_crashes.ts";

/**
 * How long this VM resends in any case the crashes that it observed itself, in case the VMs that got them are cut off or
 * replaced.
 */
const OWN_RESEND_MS = 10_000;
/**
 * When callers should retry while the request runs elsewhere for the last time. Within this time that run shows whether
 * it crashes its upstream.
 */
const TRIAL_RETRY_AFTER_MS = 2_000;

/**
 * How long a request waits while another one shows whether a part that both have crashes upstreams. A sound run shows it
 * within this time.
 */
const MAX_TRIAL_WAIT_MS = 2_000;
const TRIAL_POLL_MS = 50;

/** Maximum number of records in the store whose failed writes are retried each time. */
const MAX_RECORD_RETRIES = 5;

/** An event of a suspect, for logs and metrics. */
export type SuspectEvent =
  | {
    readonly type: "ended";
    readonly request: string;
    /**
     * The hashes of the shared parts of its prompt, each with the crashes that count against it and those that are
     * cleared.
     */
    readonly parts: string;
    readonly upstream: string;
    readonly isTrial: boolean;
    readonly ends: number;
    readonly standing: SuspectStatus;
    /** The request or the part that may be the cause. */
    readonly blamed: string;
  }
  | {
    readonly type: "cleared";
    readonly request: string;
    /** The request and its parts, as far as they were suspected, each with the crashes of which it is cleared. */
    readonly traits: string;
    readonly ends: number;
  }
  | {
    readonly type: "trial";
    readonly request: string;
    /** The request or the part that may be the cause. */
    readonly blamed: string;
    readonly isTaken: boolean;
  }
  | { readonly type: "notStored"; readonly request: string };

/** Whether a request may run, and if not, what its caller is told. */
export type SuspectVerdict =
  | {
    readonly type: "runs";
    /** Whether the request runs with the permission that a trial needs. */
    readonly hasLeave: boolean;
    /** Whose trial it is, if this VM has taken the permission just now. It is to be released after the run. */
    readonly trialOf?: string;
  }
  | {
    readonly type: "refused";
    readonly code: "endsUpstreams" | "partEndsUpstreams" | "onTrialElsewhere";
    readonly comeBackMs: number;
  };

/** Sends the rows of a {@link SuspectTracker} to other VMs, and its events to logs and metrics. */
export abstract class SuspectPublisher {
  /** Sends rows to the VMs that need them. Lost rows are sent again. */
  abstract publish(rows: readonly CrashRow[]): void;
  abstract noteEvent(event: SuspectEvent): void;
}

/** Tracks the suspects on one VM and decides whether a request may run. */
export class SuspectTracker {
  readonly #publisher: SuspectPublisher;
  readonly #records: SuspectRecords;
  readonly #nowMs: () => number;
  readonly #pacing: TrialPacing;
  readonly #history = new CrashHistory();
  readonly #untold = new UntoldCrashes(this.#history);
  readonly #trials: Trials;
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
    pacing: TrialPacing,
  ) {
    this.#publisher = publisher;
    this.#records = records;
    this.#nowMs = nowMs;
    this.#pacing = pacing;
    this.#trials = new Trials(records, nowMs, pacing);
  }

  /** Whether any request is suspected; if not, no request needs to be checked. */
  get hasSuspects(): boolean {
    return this.#history.hasSuspects;
  }

  /** Changes whenever a crash is noted or cleared; until then nothing is judged otherwise, but for the passing of time. */
  get revision(): number {
    return this.#history.revision;
  }

  /** The status of a request, or of a part by itself. */
  statusOf(trait: string): SuspectStatus {
    return this.#history.statusOf(trait, this.#nowMs());
  }

  /** Judges a request by all that it may crash upstreams by. */
  blame(traits: Traits): Blame {
    return findBlame(this.#history, traits, this.#nowMs());
  }

  dump(): unknown {
    return this.#history.dump(this.#nowMs());
  }

  /**
   * Decides whether a request may run now. `hasLeave` is true if it already has the permission for its trial. Where
   * another request shows whether a part crashes upstreams, this one waits for the result, but no longer than `mostWaitMs`.
   */
  async decide(
    traits: Traits,
    hasLeave: boolean,
    mostWaitMs: number,
  ): Promise<SuspectVerdict> {
    const untilMs = this.#nowMs() + Math.min(mostWaitMs, MAX_TRIAL_WAIT_MS);
    for (;;) {
      const blame = this.blame(traits);
      if (blame.status === "rejected") return rejectBy(blame);
      if (blame.status !== "onTrial" || hasLeave) {
        return { type: "runs", hasLeave };
      }
      const { trait } = blame;
      const verdict = await this.#takeTrial(traits, trait);
      if (verdict) return verdict;
      if (!isPartTrait(trait) || this.#nowMs() >= untilMs) {
        return {
          type: "refused",
          code: "onTrialElsewhere",
          comeBackMs: TRIAL_RETRY_AFTER_MS,
        };
      }
      await this.#pacing.sleep(TRIAL_POLL_MS);
    }
  }

  /** Tries to begin a trial; `undefined` if another one takes place, or the store is out of reach. */
  async #takeTrial(
    traits: Traits,
    trait: string,
  ): Promise<SuspectVerdict | undefined> {
    const isTaken = await this.#trials.take(trait);
    // Requests with a part ask again and again while they wait.
    if (isTaken || !isPartTrait(trait)) {
      this.#publisher.noteEvent({
        type: "trial",
        request: traits[0],
        blamed: trait,
        isTaken,
      });
    }
    if (!isTaken) return undefined;
    // Meanwhile a run on another VM may have crashed an upstream.
    const blame = this.blame(traits);
    if (blame.status !== "rejected") {
      return { type: "runs", hasLeave: true, trialOf: trait };
    }
    void this.#trials.release(trait, true);
    return rejectBy(blame);
  }

  /** Releases the permission for a trial whose run is over. */
  releaseTrial(trait: string, hasCrashed: boolean): void {
    // Who ran a request as a whole keeps it until it lapses, in case a VM is not told of the crash.
    if (hasCrashed && !isPartTrait(trait)) return;
    void this.#trials.release(trait, hasCrashed);
  }

  /**
   * Notes that an upstream crashed as a request, sent there `sentAgoMs` ago, began to run, and reports it to other VMs.
   * Returns the name of the crash, for the VM that relayed the request.
   */
  noteCrash(
    traits: Traits,
    upstreamKey: string,
    sentAgoMs: number,
    isTrial = false,
  ): string {
    const [request] = traits;
    const nowMs = this.#nowMs();
    const sentMs = nowMs - sentAgoMs;
    const trialRequest = isTrial ? request : undefined;
    const rows = traits.flatMap((trait) =>
      this.#history.noteCrash(trait, upstreamKey, sentMs, nowMs, trialRequest)
    );
    const own = rows.find(([trait]) => trait === request);
    if (rows.length === 0) return upstreamKey;
    const blame = this.blame(traits);
    this.#publisher.noteEvent({
      type: "ended",
      request,
      parts: this.#describeParts(traits),
      upstream: own?.[1] ?? upstreamKey,
      isTrial,
      ends: this.#history.crashCount(request, nowMs),
      standing: blame.status,
      blamed: blame.trait,
    });
    this.#publishOwn(rows, nowMs);
    for (const [trait] of rows) {
      if (this.#isRecorded(trait)) void this.#updateRecord(trait);
    }
    return own?.[1] ?? upstreamKey;
  }

  #describeParts([, ...parts]: Traits): string {
    const nowMs = this.#nowMs();
    return parts.map((part) => {
      const counting = this.#history.crashCount(part, nowMs);
      return `${part}:${counting}+${this.#history.clearedCount(part)}`;
    }).join();
  }

  /** Whether a trait is kept in the store: the crashes prove so much that a restart of all VMs must not forget it. */
  #isRecorded(trait: string): boolean {
    const nowMs = this.#nowMs();
    return isPartTrait(trait)
      ? this.#history.activeCrashes(trait, nowMs)
        .some(([name]) => isTrialCrash(name))
      : this.#history.crashCount(trait, nowMs) >= CRASHES_BEFORE_TRIAL;
  }

  /**
   * Notes a crash under a request that was relayed, as the VM that it was relayed to reports it. That VM also informs
   * the others.
   */
  noteRemoteCrash(traits: Traits, crashName: string): void {
    const rows = traits.map((trait): CrashRow => [trait, crashName, 0, false]);
    this.#history.merge(rows, this.#nowMs());
  }

  /**
   * Clears a request and its parts: it ran without a crash. `beganAgoMs` is the time since it began to be answered; later
   * crashes still count. Returns the number of crashes that don't count any more.
   */
  clear(traits: Traits, beganAgoMs = 0): number {
    const nowMs = this.#nowMs();
    const recorded = traits.filter((trait) => this.#isRecorded(trait));
    const rows = traits.flatMap((trait) =>
      this.#history.clear(trait, nowMs, nowMs - beganAgoMs)
    );
    if (rows.length === 0) return 0;
    this.#publisher.noteEvent({
      type: "cleared",
      request: traits[0],
      traits: countByTrait(rows),
      ends: rows.length,
    });
    this.#publishOwn(rows, nowMs);
    for (const trait of recorded) void this.#updateRecord(trait);
    return rows.length;
  }

  /**
   * Merges rows from another VM; `isFromFirst` if that VM is the one that sends the rows of all VMs. Returns the rows
   * that were new here. A row that the other VM does not know to be cleared is answered with the next resend.
   */
  merge(rows: readonly CrashRow[], isFromFirst: boolean): CrashRow[] {
    const nowMs = this.#nowMs();
    const newRows = this.#history.merge(rows, nowMs);
    for (const row of rows) this.#untold.compare(row, isFromFirst, nowMs);
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
    for (const trait of this.#history.traits()) {
      if (this.#isRecorded(trait)) this.#unstored.add(trait);
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
      this.#untold.add(this.#history.rows(nowMs), nowMs);
    }
    this.#didSendAll = shouldSendAll;
    this.#untold.sweep(nowMs);
    this.#retryRecords();
    const rows = shouldSendAll
      ? this.#history.takeRowsToResend(nowMs)
      : this.#untold.take(nowMs);
    if (rows.length > 0) this.#publisher.publish(rows);
  }

  #publishOwn(rows: readonly CrashRow[], nowMs: number): void {
    this.#untold.add(rows, nowMs + OWN_RESEND_MS);
    this.#publisher.publish(rows);
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
    if (!this.#isRecorded(digest)) {
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

function rejectBy({ trait, retryAfterMs }: Blame): SuspectVerdict {
  return {
    type: "refused",
    code: isPartTrait(trait) ? "partEndsUpstreams" : "endsUpstreams",
    comeBackMs: retryAfterMs,
  };
}

/** Lists the traits of rows with the number of their rows. */
function countByTrait(rows: readonly CrashRow[]): string {
  const counts = new Map<string, number>();
  for (const [trait] of rows) counts.set(trait, (counts.get(trait) ?? 0) + 1);
  return [...counts].map(([trait, count]) => `${trait}:${count}`).join();
}
