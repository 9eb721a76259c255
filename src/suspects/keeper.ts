/**
 * What a VM knows of suspects, whom it tells, and whether a request may run.
 *
 * @module
 */

import {
  EndBook,
  type EndNews,
  ENDS_BEFORE_TRIAL,
  type Standing,
} from "./end_book.ts";

/** What this VM itself saw is told again for so long, should those who were told be cut off or change. */
const OWN_MS = 10_000;
/** When to come back while the request runs elsewhere for the last time: the run shows within it what it does. */
const TRIAL_RETURN_MS = 2_000;

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
    readonly standing: Standing;
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
  abstract takeTrial(digest: string): Promise<boolean>;
  /** Strikes a suspect and its trial out. */
  abstract strike(digest: string): Promise<void>;
}

/** A {@link SuspectKeeper}'s ways to the other VMs and to the log. */
export abstract class SuspectLinks {
  /** Tells rows to the VMs that have to know. What is lost is told again. */
  abstract tell(rows: readonly EndNews[]): void;
  abstract note(event: SuspectEvent): void;
}

/** See the module. */
export class SuspectKeeper {
  readonly #links: SuspectLinks;
  readonly #records: SuspectRecords;
  readonly #nowMs: () => number;
  readonly #book = new EndBook();
  #own: { readonly rows: readonly EndNews[]; readonly seenMs: number }[] = [];

  /** `nowMs` is the monotonic clock. */
  constructor(
    links: SuspectLinks,
    records: SuspectRecords,
    nowMs: () => number,
  ) {
    this.#links = links;
    this.#records = records;
    this.#nowMs = nowMs;
  }

  /** Whether any request is suspected; else none needs to be looked at. */
  get hasSuspects(): boolean {
    return this.#book.hasSuspects;
  }

  standing(digest: string): Standing {
    return this.#book.standing(digest, this.#nowMs());
  }

  /** The upstreams that ended under a request. */
  ends(digest: string): readonly string[] {
    return this.#book.upstreams(digest);
  }

  dump(): unknown {
    return this.#book.dump(this.#nowMs());
  }

  /** Whether a request may run now. `hasLeave` if it was given the leave for its trial already. */
  async judge(digest: string, hasLeave: boolean): Promise<SuspectVerdict> {
    const standing = this.standing(digest);
    if (standing === "rejected") return this.#rejection(digest);
    if (standing !== "onTrial" || hasLeave) return { type: "runs", hasLeave };
    const isTaken = await this.#records.takeTrial(digest);
    this.#links.note({ type: "trial", request: digest, isTaken });
    // Its last run may have ended elsewhere meanwhile.
    if (this.standing(digest) === "rejected") return this.#rejection(digest);
    return isTaken ? { type: "runs", hasLeave: true } : {
      type: "refused",
      code: "onTrialElsewhere",
      comeBackMs: TRIAL_RETURN_MS,
    };
  }

  /**
   * Notes that an upstream ended as a request, which had been there for `sentAgoMs`, began to run, and tells the others.
   * Returns the name of the end, for who handed the request over.
   */
  noteEnd(digest: string, upstreamKey: string, sentAgoMs: number): string {
    const nowMs = this.#nowMs();
    const sentMs = nowMs - sentAgoMs;
    const rows = this.#book.noteEnd(digest, upstreamKey, sentMs, nowMs);
    if (rows.length === 0) return upstreamKey;
    const [[, upstream]] = rows;
    const ends = this.#book.ends(digest, nowMs);
    const standing = this.standing(digest);
    this.#links.note({
      type: "ended",
      request: digest,
      upstream,
      ends,
      standing,
    });
    this.#tellOwn(rows, nowMs);
    if (ends >= ENDS_BEFORE_TRIAL) void this.#writeDown(digest);
    return upstream;
  }

  /** The VM that a request was handed to says that an upstream ended under it there; that VM tells the others. */
  noteEndElsewhere(digest: string, ended: string): void {
    this.#book.adopt([[digest, ended, 0, false]], this.#nowMs());
  }

  /** A request ran and ended nothing; of no effect unless it was suspected. */
  clear(digest: string): void {
    const nowMs = this.#nowMs();
    const ends = this.#book.ends(digest, nowMs);
    if (ends === 0) return;
    const rows = this.#book.clear(digest, nowMs);
    this.#links.note({ type: "cleared", request: digest, ends });
    this.#tellOwn(rows, nowMs);
    if (ends >= ENDS_BEFORE_TRIAL) void this.#records.strike(digest);
  }

  /** Takes in what another VM told. Returns what was new here. */
  adopt(rows: readonly EndNews[]): EndNews[] {
    return this.#book.adopt(rows, this.#nowMs());
  }

  /** Takes in what all VMs knew before they were started again. Resolves to whether the store told. */
  async readRecords(): Promise<boolean> {
    const stored = await this.#records.list();
    const rows = stored?.flatMap(({ digest, upstreams }) =>
      upstreams.map((upstream): EndNews => [digest, upstream, 0, false])
    );
    this.adopt(rows ?? []);
    return stored !== undefined;
  }

  /** To be called every second or two: what was told may be lost. `speaksForRegion` tells what all VMs saw, else its own. */
  tellAgain(speaksForRegion: boolean): void {
    const nowMs = this.#nowMs();
    this.#book.sweep(nowMs);
    this.#own = this.#own.filter(({ seenMs }) => nowMs - seenMs < OWN_MS);
    const rows = speaksForRegion
      ? this.#book.worst(nowMs)
      : this.#own.flatMap(({ rows }) => rows);
    if (rows.length > 0) this.#links.tell(rows);
  }

  #tellOwn(rows: readonly EndNews[], nowMs: number): void {
    this.#own.push({ rows, seenMs: nowMs });
    this.#links.tell(rows);
  }

  #rejection(digest: string): SuspectVerdict {
    const comeBackMs = this.#book.rejectedForMs(digest, this.#nowMs());
    return { type: "refused", code: "endsUpstreams", comeBackMs };
  }

  async #writeDown(digest: string): Promise<void> {
    const upstreams = this.#book.upstreams(digest);
    if (await this.#records.put({ digest, upstreams })) return;
    this.#links.note({ type: "notStored", request: digest });
  }
}
