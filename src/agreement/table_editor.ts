/**
 * One operator's edit on its way into the log, as a state machine: what to write, what an answer or its loss means, and
 * when the edit is accepted, refused or unknown.
 *
 * @module
 */

import { rowKey, type TableRow } from "./rows.ts";
import type { RowChange, Table, VersionedRow } from "./table.ts";
import { checkChanges, type RowFault } from "./table_checks.ts";
import type { TableLog } from "./table_log.ts";
import {
  type LoggedEdit,
  MAX_EDIT_CHARS,
  type TableHead,
} from "./table_records.ts";

/** What an operator asks for. */
export interface Proposal {
  /** Made by the operator's tool; a repeated proposal is accepted once. */
  readonly id: string;
  readonly author: string;
  readonly changes: readonly RowChange[];
}

/** A row that another edit changed first, as it now stands. */
export interface RowConflict {
  readonly key: string;
  readonly ifVersion: number;
  readonly current?: VersionedRow;
}

/** The head with the store's revision of it, 0 if there is none. */
export interface SeenHead {
  readonly head: TableHead | undefined;
  readonly rev: number;
  /** The version in force here when the reading began; see {@link TableLog.compareHead}. */
  readonly readAtVersion: number;
}

/** What to do next with an edit. */
export type EditStep =
  /** Write log record and head in one transaction, if the log has no such version and the head is at `headRev`. */
  | {
    readonly type: "write";
    readonly edit: LoggedEdit;
    readonly head: TableHead;
    readonly headRev: number;
  }
  /** Read head and log again, then ask for the next step. */
  | { readonly type: "catchUp" }
  | { readonly type: "accepted"; readonly version: number }
  | {
    readonly type: "conflict";
    readonly conflicts: readonly RowConflict[];
  }
  | { readonly type: "invalid"; readonly faults: readonly RowFault[] }
  | { readonly type: "tooLarge" }
  /** The proposal's id is that of another edit, which made this version. */
  | { readonly type: "reusedId"; readonly version: number }
  /** Nothing to change: every row stands as wanted. */
  | { readonly type: "unchanged"; readonly version: number }
  /** The store's log is older than what is in force, or another's; `maybeAccepted`: a write's answer was lost. */
  | { readonly type: "regressed"; readonly maybeAccepted: boolean }
  /** It can no longer be told whether the edit was accepted. */
  | { readonly type: "unknown" };

/** How the store answered a write. */
export type WriteAnswer = "done" | "conflict" | "lost" | "refused";

/** One {@link Proposal} under way. */
export class EditAttempt {
  readonly proposal: Proposal;
  #edit: LoggedEdit | undefined;
  #unsettled = false;

  constructor(proposal: Proposal) {
    this.proposal = proposal;
  }

  /** The edit last written. */
  get edit(): LoggedEdit | undefined {
    return this.#edit;
  }

  /** Whether a write may have taken effect, or may do so yet, without our knowing. */
  get unsettled(): boolean {
    return this.#unsettled;
  }

  /** The next step after head and log were read; `knownVersion` is the newest that any other VM has in force. */
  next(
    log: TableLog,
    seen: SeenHead,
    knownVersion: number,
    nowMs: number,
  ): EditStep {
    const { table } = log;
    const accepted = log.versionOf(this.proposal.id);
    if (accepted !== undefined) return this.#matchAccepted(log, accepted);
    const relation = log.compareHead(seen.head, seen.readAtVersion);
    if (relation === "ahead" || relation === "stale") {
      return { type: "catchUp" };
    }
    // A store restored from an old copy would give out versions again that are in force elsewhere: two edits would
    // bear one number, and VMs would differ for good. The operator must mend the store first.
    if (relation !== "same" || knownVersion > table.version) {
      return { type: "regressed", maybeAccepted: this.#unsettled };
    }
    return this.#unsettled
      ? this.settle(log, seen, nowMs)
      : this.#propose(log, seen, nowMs);
  }

  /**
   * What an answer to the last `write` means. An accepted edit is put in force here before anyone is told, so that it
   * outlives the store's copy. Where that fails, the store was restored while the answer was on its way, and another
   * edit has the version: the operator, told "accepted", would look for it in vain.
   */
  onAnswer(answer: WriteAnswer, log: TableLog): EditStep {
    if (answer === "done") {
      const { id, version } = this.#edit!;
      log.offer([this.#edit!]);
      return log.versionOf(id) === version
        ? { type: "accepted", version }
        : { type: "regressed", maybeAccepted: true };
    }
    // A refused or conflicting write had no effect, but one before it, whose answer was lost, may have had.
    if (answer === "lost") this.#unsettled = true;
    return { type: "catchUp" };
  }

  /**
   * Settles a lost answer after the log was read. The log does not hold this edit's id, so either another edit took
   * the version, and this one never lands, or the version is still free and the write may be on its way: then the same
   * record is written again, and the head's revision lets only one of the two take effect.
   */
  protected settle(log: TableLog, seen: SeenHead, nowMs: number): EditStep {
    const edit = this.#edit!;
    if (log.table.version < edit.version) return this.#write(edit, seen);
    if (!log.knows(edit.version)) return { type: "unknown" };
    this.#unsettled = false;
    return this.#propose(log, seen, nowMs);
  }

  /** An edit of this id is in the log: this one, sent again, or another's that must not pass for it. */
  #matchAccepted(log: TableLog, version: number): EditStep {
    const accepted = log.editsSince(version - 1)?.[0];
    const proposed = new Set(
      this.proposal.changes.map((it) => canonicalJson(it)),
    );
    const same = !accepted ||
      accepted.changes.every((it) => proposed.has(canonicalJson(it)));
    return { type: same ? "accepted" : "reusedId", version };
  }

  #propose(log: TableLog, seen: SeenHead, nowMs: number): EditStep {
    const { table, lastId } = log;
    const conflicts = this.findConflicts(table);
    if (conflicts.length > 0) return { type: "conflict", conflicts };
    const changes = this.proposal.changes.filter((it) => changesRow(table, it));
    if (changes.length === 0) {
      return { type: "unchanged", version: table.version };
    }
    const edit: LoggedEdit = {
      version: table.version + 1,
      id: this.proposal.id,
      prevId: lastId,
      author: this.proposal.author,
      atMs: nowMs,
      changes,
    };
    if (JSON.stringify(edit).length > MAX_EDIT_CHARS) {
      return { type: "tooLarge" };
    }
    const faults = checkChanges(table.apply(edit), changes);
    if (faults.length > 0) return { type: "invalid", faults };
    return this.#write(edit, seen);
  }

  #write(edit: LoggedEdit, seen: SeenHead): EditStep {
    this.#edit = edit;
    const head = {
      version: edit.version,
      id: edit.id,
      snapshot: seen.head?.snapshot,
    };
    return { type: "write", edit, head, headRev: seen.rev };
  }

  /** The rows that changed since the operator looked; the loser of a race is shown them as they now stand. */
  protected findConflicts(table: Table): RowConflict[] {
    const conflicts: RowConflict[] = [];
    for (const change of this.proposal.changes) {
      if (change.ifVersion === undefined) continue;
      const key = changedKey(change);
      const current = table.get(key);
      if ((current?.version ?? 0) === change.ifVersion) continue;
      conflicts.push({ key, ifVersion: change.ifVersion, current });
    }
    return conflicts;
  }
}

/** The key of the row that a change is about. */
export function changedKey(change: RowChange): string {
  return change.type === "put" ? rowKey(change.row) : change.key;
}

function changesRow(table: Table, change: RowChange): boolean {
  const current = table.get(changedKey(change))?.row;
  if (change.type === "delete") return current !== undefined;
  return current === undefined || !sameRow(current, change.row);
}

/** Whether two rows say the same; the order of their fields does not count. */
export function sameRow(a: TableRow, b: TableRow): boolean {
  return canonicalJson(a) === canonicalJson(b);
}

function canonicalJson(value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(canonicalJson).join()}]`;
  if (typeof value !== "object" || value === null) return JSON.stringify(value);
  const fields = Object.entries(value)
    .filter(([, field]) => field !== undefined)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([name, field]) => `${JSON.stringify(name)}:${canonicalJson(field)}`);
  return `{${fields.join()}}`;
}

/** The order in which kinds can be put so that each row's references are there before it. */
const KIND_ORDER = ["service", "region", "traffic", "workspace", "upstream"];

/**
 * The changes that make `table` hold exactly `rows`, each on the version it was made on: puts first, in the order of
 * their references, deletes last, in the reverse order.
 */
export function diffRows(
  table: Table,
  rows: readonly TableRow[],
): RowChange[] {
  const wanted = new Map(rows.map((row) => [rowKey(row), row]));
  const changes: RowChange[] = [];
  for (const [key, row] of wanted) {
    const current = table.get(key);
    if (current && sameRow(current.row, row)) continue;
    changes.push({ type: "put", row, ifVersion: current?.version ?? 0 });
  }
  for (const { row, version } of table.rows()) {
    const key = rowKey(row);
    if (wanted.has(key)) continue;
    changes.push({ type: "delete", key, ifVersion: version });
  }
  return changes.sort((a, b) => changeOrder(a) - changeOrder(b));
}

function changeOrder(change: RowChange): number {
  const place = KIND_ORDER.indexOf(changedKey(change).split("/")[0]);
  return change.type === "put" ? place : 2 * KIND_ORDER.length - place;
}

/** Cuts changes into parts that each fit one record of the log, in order. */
export function splitChanges(
  changes: readonly RowChange[],
  maxChars = MAX_EDIT_CHARS / 2,
): RowChange[][] {
  const parts: RowChange[][] = [];
  let chars = Infinity;
  for (const change of changes) {
    const changeChars = JSON.stringify(change).length + 1;
    if (chars + changeChars > maxChars) {
      parts.push([]);
      chars = 0;
    }
    parts[parts.length - 1].push(change);
    chars += changeChars;
  }
  return parts;
}
