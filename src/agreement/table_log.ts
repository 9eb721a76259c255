/**
 * A VM's copy of the table's log as a state machine: which edits it applies, which it holds back, and when the store
 * was rolled back.
 *
 * @module
 */

import { Table } from "./table.ts";
import type {
  EditRef,
  LoggedEdit,
  TableHead,
  TableImage,
} from "./table_records.ts";

/** Number of edits kept for VMs that are a little behind. Others get a whole image. */
export const TAIL_EDITS = 512;
/** Maximum number of edits held back while one before them is missing. */
const MAX_PENDING_EDITS = 1024;

/** A contradiction between the store's log and what is in force here. */
export interface Regression {
  /**
   * `older`: the store's head is below the version in force here. `forked`: the versions are the same, but the edits
   * differ.
   */
  readonly type: "older" | "forked";
  /** The version in the store. */
  readonly storeVersion: number;
  /** The version in force here when the contradiction was seen. */
  readonly version: number;
}

/** The result of offering edits. */
export interface OfferOutcome {
  /** The edits applied, in order. */
  readonly applied: readonly LoggedEdit[];
  /** Whether edits are missing before some of those offered. */
  readonly gap: boolean;
}

/**
 * How the store's head compares with what is in force here. `stale`: the head was read before the newest edits came
 * into force here, so the comparison is inconclusive and the head must be read again.
 */
export type HeadRelation = "same" | "ahead" | "older" | "forked" | "stale";

/**
 * One VM's copy of the log. Its version increases by one edit at a time or by loading a whole image, and never
 * decreases.
 */
export class TableLog {
  #table = Table.empty;
  #lastId = "";
  #tail: LoggedEdit[] = [];
  #recentRefs: EditRef[] = [];
  #pending = new Map<number, LoggedEdit>();
  #regression: Regression | undefined;

  /** The newest version in force. */
  get table(): Table {
    return this.#table;
  }
  /** The id of the newest edit. */
  get lastId(): string {
    return this.#lastId;
  }
  /** The contradiction with the store's log, as long as it lasts. */
  get regression(): Regression | undefined {
    return this.#regression;
  }
  /** Number of edits that wait for one before them. */
  get pendingCount(): number {
    return this.#pending.size;
  }

  /** Returns the table with its last edit's id, for a snapshot or another VM. */
  image(): TableImage {
    const recent = this.#recentRefs.slice(-TAIL_EDITS);
    return { table: this.#table, lastId: this.#lastId, recent };
  }

  /** Takes edits in any order, repeated or not, and applies those that follow the version in force. */
  offer(edits: readonly LoggedEdit[]): OfferOutcome {
    for (const edit of edits) this.#receive(edit);
    const applied: LoggedEdit[] = [];
    for (;;) {
      const next = this.nextPending(this.#pending);
      if (!next) break;
      this.#pending.delete(next.version);
      if (this.follows(next)) {
        this.#apply(next);
        applied.push(next);
      } else {
        this.#recordRegression("forked", next.version);
        break;
      }
    }
    return { applied, gap: this.#pending.size > 0 };
  }

  /** Loads a whole table if it is newer and of the same history. Returns whether it did. */
  load(image: TableImage): boolean {
    if (!this.isNewer(image.table.version)) return false;
    if (!this.continues(image)) {
      this.#recordRegression("forked", image.table.version);
      return false;
    }
    this.#table = image.table;
    this.#lastId = image.lastId;
    this.#tail = [];
    this.#recentRefs = [...image.recent];
    this.#dropPendingUpTo(image.table.version);
    return true;
  }

  /**
   * Compares the store's head, `undefined` for an empty store, with what is in force here. A store restored from an old
   * backup has a head below what was accepted. Following it would take back an accepted edit, so this records a
   * regression and changes nothing else.
   *
   * `readAtVersion` is the version that was in force here when the read started. Edits that come into force while the
   * answer is in transit make an intact store look old; a false regression for each of them would hide a real one.
   */
  compareHead(
    head: TableHead | undefined,
    readAtVersion: number,
  ): HeadRelation {
    const relation = this.#relationTo(head, readAtVersion);
    if (relation === "older" || relation === "forked") {
      this.#recordRegression(relation, head?.version ?? 0);
    } else if (relation === "same") this.#regression = undefined;
    return relation;
  }

  /** Returns the edits after `version`; `undefined` if some are no longer kept. */
  editsSince(version: number): readonly LoggedEdit[] | undefined {
    if (version >= this.#table.version) return [];
    const first = this.#tail[0]?.version;
    if (first === undefined || version + 1 < first) return undefined;
    return this.#tail.slice(version + 1 - first);
  }

  /** Returns the newest edits that are kept, oldest first. */
  recentEdits(): readonly LoggedEdit[] {
    return this.#tail;
  }

  /** Returns the version that this edit made, if it is among the newest {@link TAIL_EDITS}. */
  versionOf(editId: string): number | undefined {
    return this.#recentRefs.findLast((edit) => edit.id === editId)?.version;
  }

  /** Whether {@link TableLog.versionOf} covers this version. */
  knows(version: number): boolean {
    const first = this.#recentRefs[0]?.version ?? Infinity;
    return version >= first && version <= this.#table.version;
  }

  /**
   * Returns the pending edit to apply next: only the one right after the version in force, because otherwise an edit
   * would be lost.
   */
  protected nextPending(
    pending: ReadonlyMap<number, LoggedEdit>,
  ): LoggedEdit | undefined {
    return pending.get(this.#table.version + 1);
  }

  /** Whether an edit continues this history, and not that of a restored store that assigned its version again. */
  protected follows(edit: LoggedEdit): boolean {
    return edit.prevId === this.#lastId;
  }

  /**
   * Whether an image contains the edit last applied here. An image made after a restore of the store may be newer and
   * yet lack accepted edits; loading it would take them back. This can be checked only if the image's recent edits
   * reach back that far.
   */
  protected continues(image: TableImage): boolean {
    const { version } = this.#table;
    const there = image.recent.find((edit) => edit.version === version);
    return there === undefined || there.id === this.#lastId;
  }

  /** Whether a version may replace the one in force. */
  protected isNewer(version: number): boolean {
    return version > this.#table.version;
  }

  #receive(edit: LoggedEdit): void {
    if (this.isNewer(edit.version)) {
      if (this.#pending.size < MAX_PENDING_EDITS) {
        this.#pending.set(edit.version, edit);
      }
      return;
    }
    const first = this.#tail[0]?.version ?? Infinity;
    const known = this.#tail[edit.version - first];
    if (known && known.id !== edit.id) {
      this.#recordRegression("forked", edit.version);
    }
  }

  #apply(edit: LoggedEdit): void {
    this.#table = this.#table.apply(edit);
    this.#lastId = edit.id;
    this.#tail.push(edit);
    this.#recentRefs.push({ id: edit.id, version: edit.version });
    // Truncated at twice the length, so that many edits share one copy.
    if (this.#tail.length > 2 * TAIL_EDITS) {
      this.#tail = this.#tail.slice(-TAIL_EDITS);
    }
    if (this.#recentRefs.length > 2 * TAIL_EDITS) {
      this.#recentRefs = this.#recentRefs.slice(-TAIL_EDITS);
    }
  }

  #relationTo(
    head: TableHead | undefined,
    readAtVersion: number,
  ): HeadRelation {
    const storeVersion = head?.version ?? 0;
    if (storeVersion < readAtVersion) return "older";
    if (storeVersion < this.#table.version) return "stale";
    if (storeVersion > this.#table.version) return "ahead";
    return (head?.id ?? "") === this.#lastId ? "same" : "forked";
  }

  #recordRegression(type: Regression["type"], storeVersion: number): void {
    this.#regression = { type, storeVersion, version: this.#table.version };
  }

  #dropPendingUpTo(version: number): void {
    for (const key of this.#pending.keys()) {
      if (key <= version) this.#pending.delete(key);
    }
  }
}
