/**
 * Operators' edits of the table: of single rows, or of the whole table from a file in version control.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import type { StoreError } from "../adapters/mod.ts";
import {
  checkChanges,
  diffRows,
  EditAttempt,
  type EditStep,
  type LoggedEdit,
  type Proposal,
  type RowChange,
  type RowFault,
  rowKey,
  splitChanges,
  Table,
  type TableRow,
} from "../agreement/mod.ts";
import { backoffMs, type Clock, failure, type Random } from "../base/mod.ts";
import {
  type EditRefusal,
  refusalOf,
  refuseInvalid,
  refuseUnavailable,
} from "./table_refusals.ts";
import type { TableService } from "./table_service.ts";
import type { StoreHead } from "./table_store.ts";

/** The result of an edit that was accepted, or that had nothing to change. */
export interface EditResult {
  /** The version to wait for. */
  readonly version: number;
  readonly changed: boolean;
}

/** A whole table to be put in force. */
export interface TableApplyRequest {
  readonly rows: readonly TableRow[];
  readonly author: string;
  readonly dryRun: boolean;
  readonly deadlineMs: number;
}

/** What an apply changes, and the version it made (`undefined` for a dry run). */
export interface TableApplyResult {
  readonly changes: readonly RowChange[];
  readonly version: number | undefined;
}

/** Options of {@link TableEditor}. */
export interface TableEditorOptions {
  readonly service: TableService;
  readonly vmId: string;
  readonly clock: Clock;
  readonly random: Random;
}

/** Backoff between attempts while the store fails, or other editors change the head first. */
const RETRY_BACKOFF = { firstMs: 20, maxMs: 1000 };
/** A snapshot is due after this many edits, so a cold start reads only a few more records than this. */
const EDITS_PER_SNAPSHOT = 512;
/** A due snapshot is written at a version divisible by this. If its writer dies, the next such version retries it. */
const EDITS_PER_SNAPSHOT_RETRY = 16;

/** Makes edits one after another, so that edits of the same VM never race each other. */
export class TableEditor {
  readonly #options: TableEditorOptions;
  #lastRun: Promise<unknown> = Promise.resolve();
  /** The head after this VM's last edit, which saves the next edit a read. */
  #cachedHead: StoreHead | undefined;

  constructor(options: TableEditorOptions) {
    this.#options = options;
  }

  /** Retries until the edit is accepted or refused, or `deadlineMs` has passed. */
  submit(
    proposal: Proposal,
    deadlineMs: number,
  ): Promise<Result<EditResult, EditRefusal>> {
    return this.#runInOrder(() => this.#submit(proposal, deadlineMs));
  }

  /** Returns the changes that make the table hold exactly `rows`. */
  async diff(
    rows: readonly TableRow[],
  ): Promise<Result<RowChange[], EditRefusal>> {
    const seen = await this.#options.service.sync();
    if (seen.isErr()) return err(refuseUnavailable(seen.error, false));
    return ok(diffRows(this.#options.service.log.table, rows));
  }

  /**
   * Makes the table hold exactly the rows of `request`. Changes that do not fit in one record are split into several,
   * in an order in which each is valid. A row is changed only if it still has the version that the diff saw.
   */
  async apply(
    request: TableApplyRequest,
  ): Promise<Result<TableApplyResult, EditRefusal>> {
    const diff = await this.diff(request.rows);
    if (diff.isErr()) return err(diff.error);
    const changes = diff.value;
    const faults = this.#faultsOf(changes);
    if (faults.length > 0) return err(refuseInvalid(faults));
    if (request.dryRun) return ok({ changes, version: undefined });
    let { version } = this.#options.service.log.table;
    for (const chunk of splitChanges(changes)) {
      const proposal = {
        id: randomUUID(),
        author: request.author,
        changes: chunk,
      };
      const result = await this.submit(proposal, request.deadlineMs);
      if (result.isErr()) {
        return err({ ...result.error, acceptedVersion: version });
      }
      version = result.value.version;
    }
    return ok({ changes, version });
  }

  /** Returns the edits before version `before`, newest first, from memory if it holds them or else from the store. */
  async history(
    before: number | undefined,
    limit: number,
  ): Promise<Result<readonly LoggedEdit[], EditRefusal>> {
    const { log, store } = this.#options.service;
    const end = Math.min(before ?? Infinity, log.table.version + 1);
    const from = Math.max(1, end - limit);
    const kept = log.editsSince(from - 1);
    if (kept) return ok(kept.filter((it) => it.version < end).reverse());
    const read = await store.edits(from, end - from);
    if (read.isErr()) return err(refuseUnavailable(read.error, false));
    const found = read.value.edits.filter((it) => it.version < end);
    return ok(found.reverse());
  }

  /**
   * Writes the table in force here as a snapshot to a store that was restored from an old backup, so that the store is
   * consistent with the VMs again. Refused while another VM has a newer table, or if the store holds other edits.
   */
  republish(): Promise<Result<EditResult, EditRefusal>> {
    return this.#runInOrder(() => this.#republish());
  }

  #runInOrder<T>(run: () => Promise<T>): Promise<T> {
    const result = this.#lastRun.then(run);
    this.#lastRun = result.catch(() => {});
    return result;
  }

  async #submit(
    proposal: Proposal,
    deadlineMs: number,
  ): Promise<Result<EditResult, EditRefusal>> {
    const { service, clock, random } = this.#options;
    const attempt = new EditAttempt(proposal);
    for (let tries = 0;; tries++) {
      const known = await service.fleet.knownVersion();
      const seen = await this.#readHead(known);
      const step: EditStep = seen.isOk()
        ? attempt.next(service.log, seen.value, known, clock.nowMs())
        : { type: "catchUp" };
      const result = step.type === "write"
        ? this.#resultOf(await this.#writeEdit(attempt, step), attempt)
        : this.#resultOf(step, attempt);
      if (result) return result;
      if (clock.nowMs() >= deadlineMs) {
        const error = seen.isErr() ? seen.error : undefined;
        return err(refuseUnavailable(error, attempt.unsettled));
      }
      await clock.sleep(backoffMs(tries, RETRY_BACKOFF, random));
    }
  }

  /** Returns the head cached after this VM's last edit, or reads it if another VM is known to have a newer version. */
  async #readHead(known: number): Promise<Result<StoreHead, StoreError>> {
    const { service } = this.#options;
    const { version } = service.log.table;
    const seen = this.#cachedHead;
    if (seen?.head?.version === version && known <= version) return ok(seen);
    this.#cachedHead = undefined;
    return await service.sync();
  }

  async #writeEdit(
    attempt: EditAttempt,
    step: Extract<EditStep, { type: "write" }>,
  ): Promise<EditStep> {
    const { service } = this.#options;
    const before = service.log.table.version;
    const { answer, rev } = await service.store.write(step);
    const next = attempt.onAnswer(answer, service.log);
    const { head } = step;
    this.#cachedHead = answer === "done"
      ? { head, rev, storeRev: rev, readAtVersion: head.version }
      : undefined;
    if (next.type !== "accepted") return next;
    // If the watch has applied the edit first, it has also reported it.
    if (service.log.table.version > before) {
      await service.onEditsApplied([step.edit]);
    }
    this.#snapshotIfDue(step);
    return next;
  }

  #resultOf(
    step: EditStep,
    attempt: EditAttempt,
  ): Result<EditResult, EditRefusal> | undefined {
    if (step.type === "accepted") {
      return ok({ version: step.version, changed: true });
    }
    if (step.type === "unchanged") {
      return ok({ version: step.version, changed: false });
    }
    const refused = refusalOf(step, attempt.unsettled);
    return refused && err(refused);
  }

  #snapshotIfDue(step: Extract<EditStep, { type: "write" }>): void {
    const { version, snapshot } = step.head;
    const isDue = version - (snapshot?.version ?? 0) >= EDITS_PER_SNAPSHOT;
    if (!isDue || version % EDITS_PER_SNAPSHOT_RETRY !== 0) return;
    const { service, vmId } = this.#options;
    const image = service.log.image();
    void service.store.writeSnapshot(image, vmId).then(() => {
      // Writing the snapshot has changed the head's revision.
      this.#cachedHead = undefined;
    });
  }

  #faultsOf(changes: readonly RowChange[]): RowFault[] {
    const { table } = this.#options.service.log;
    const rows = new Map([...table.rows()].map((it) => [rowKey(it.row), it]));
    const version = table.version + 1;
    for (const change of changes) {
      if (change.type === "delete") rows.delete(change.key);
      else {
        const versioned = { row: change.row, version };
        rows.set(rowKey(change.row), versioned);
      }
    }
    return checkChanges(Table.of(version, rows.values()), changes);
  }

  async #republish(): Promise<Result<EditResult, EditRefusal>> {
    const { service, vmId } = this.#options;
    const known = await service.fleet.knownVersion();
    const seen = await service.sync();
    if (seen.isErr()) return err(refuseUnavailable(seen.error, false));
    const { version } = service.log.table;
    if (service.log.regression?.type === "forked" || known > version) {
      const message = known > version
        ? `another VM has version ${known} in force; ask that one`
        : "the store holds other edits under the same versions";
      return err({ failure: failure("storeRegressed", { message }) });
    }
    if (!service.log.regression) return ok({ version, changed: false });
    const written = await service.store.writeSnapshot(
      service.log.image(),
      vmId,
      { mayAdvance: true },
    );
    if (written.isErr()) return err(refuseUnavailable(written.error, true));
    this.#cachedHead = undefined;
    await service.sync();
    return ok({ version, changed: true });
  }
}
