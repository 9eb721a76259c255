/**
 * The table in the platform's store: reads the head, the log and snapshots, and writes edits and snapshots.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import type { KeyValue, StoreError, Watch, Write } from "../adapters/mod.ts";
import {
  type EditStep,
  HEAD_KEY,
  type ImagePage,
  joinPages,
  LOG_PREFIX,
  type LoggedEdit,
  logKey,
  pageKey,
  parseEdit,
  parsePage,
  parseTableHead,
  type SeenHead,
  SNAPSHOT_PREFIX,
  type SnapshotRef,
  splitImage,
  type TableImage,
  type TableLog,
  type WriteAnswer,
} from "../agreement/mod.ts";

/** Edits before a snapshot that stay in the log, for VMs that are only a little behind. */
export const RETAINED_EDITS = 256;
const EDITS_PER_READ = 64;
const DELETES_PER_TRANSACTION = 100;
const MAX_SNAPSHOT_ATTEMPTS = 5;

/** The head as read, with the store's revision at that moment. A watch starts from `storeRev + 1`. */
export interface StoreHead extends SeenHead {
  readonly storeRev: number;
}

/** Reads and writes the table's keys. Has no state besides its connection to the store. */
export class TableStore {
  readonly #store: KeyValue;

  constructor(store: KeyValue) {
    this.#store = store;
  }

  /** The number of store calls made for the table. */
  get callCount(): number {
    return this.#store.counts().table;
  }

  /** Reads the head. `readAtVersion` is the version in force here now. */
  async head(readAtVersion: number): Promise<Result<StoreHead, StoreError>> {
    // A listing also returns the store's revision. The head's own revision may be old and compacted, so that a watch
    // could not start from it.
    const listing = await this.#store.list(HEAD_KEY, { limit: 1 }, "table");
    return listing.andThen(({ entries, rev }) => {
      const [entry] = entries;
      const readPoint = { storeRev: rev, readAtVersion };
      if (!entry) return ok({ head: undefined, rev: 0, ...readPoint });
      return tryParse(() => ({
        head: parseTableHead(JSON.parse(entry.value)),
        rev: entry.rev,
        ...readPoint,
      }));
    });
  }

  /**
   * Brings `log` up to the head, with a snapshot if it is far behind. Returns the edits that were applied one by one.
   */
  async catchUp(
    log: TableLog,
    { head }: SeenHead,
  ): Promise<Result<LoggedEdit[], StoreError>> {
    const applied: LoggedEdit[] = [];
    if (!head || head.version <= log.table.version) return ok(applied);
    const { snapshot } = head;
    const editsBehind = head.version - log.table.version;
    if (snapshot && editsBehind > RETAINED_EDITS) {
      const loaded = await this.#loadSnapshot(log, snapshot);
      if (loaded.isErr()) return err(loaded.error);
    }
    for (;;) {
      const page = await this.edits(log.table.version + 1, EDITS_PER_READ);
      if (page.isErr()) return err(page.error);
      const outcome = log.offer(page.value.edits);
      applied.push(...outcome.applied);
      if (outcome.applied.length > 0 && page.value.more) continue;
      const needsSnapshot = head.version > log.table.version && snapshot &&
        snapshot.version > log.table.version;
      if (!needsSnapshot) return ok(applied);
      const loaded = await this.#loadSnapshot(log, snapshot);
      if (loaded.isErr()) return err(loaded.error);
    }
  }

  /** Reads up to `limit` edits of the log, starting at `version`. */
  async edits(
    version: number,
    limit: number,
  ): Promise<
    Result<
      { readonly edits: LoggedEdit[]; readonly more: boolean },
      StoreError
    >
  > {
    const fromKey = logKey(version);
    const listing = await this.#store.list(
      LOG_PREFIX,
      { fromKey, limit },
      "table",
    );
    return listing.andThen(({ entries, more }) =>
      tryParse(() => ({
        edits: entries.map((entry) => parseEdit(JSON.parse(entry.value))),
        more,
      }))
    );
  }

  /** Writes an edit and the head in one transaction. Returns the answer and the head's new revision. */
  async write(
    step: Extract<EditStep, { type: "write" }>,
  ): Promise<{ readonly answer: WriteAnswer; readonly rev: number }> {
    const { edit, head, headRev } = step;
    const result = await this.#store.transact([
      {
        type: "put",
        key: HEAD_KEY,
        value: JSON.stringify(head),
        ifRev: headRev,
      },
      {
        type: "put",
        key: logKey(edit.version),
        value: JSON.stringify(edit),
        ifRev: 0,
      },
    ], "table");
    if (result.isOk()) return { answer: "done", rev: result.value };
    const { kind } = result.error;
    const answer = kind === "conflict" || kind === "lost" ? kind : "refused";
    return { answer, rev: 0 };
  }

  /**
   * Writes an image as a snapshot, points the head at it, then deletes what it replaces. The pages have a name of their
   * own that the head does not refer to until all are written, so the old snapshot stays in place if the writer dies
   * before that. Only with `mayAdvance` may the image be newer than the head; this is for an operator who republishes
   * the table in force to a restored store.
   */
  async writeSnapshot(
    image: TableImage,
    writer: string,
    options: { readonly mayAdvance: boolean } = { mayAdvance: false },
  ): Promise<Result<void, StoreError>> {
    const { version } = image.table;
    const name = `${String(version).padStart(12, "0")}-${writer}`;
    const pages = splitImage(image);
    for (const page of pages) {
      const key = pageKey(name, page.page);
      const put = await this.#store.put(key, JSON.stringify(page), {}, "table");
      if (put.isErr()) return err(put.error);
    }
    const ref = { version, name, pages: pages.length };
    const advanceToId = options.mayAdvance ? image.lastId : undefined;
    const published = await this.#publishSnapshot(ref, advanceToId);
    return published.isErr()
      ? err(published.error)
      : await this.#deleteReplaced(ref);
  }

  /** Reports each new edit from store revision `fromRev` on. The watch ends when it calls `onLost`. */
  watch(
    fromRev: number,
    onEdit: (edit: LoggedEdit) => void,
    onLost: (message: string) => void,
  ): Watch {
    return this.#store.watch(LOG_PREFIX, fromRev, (event) => {
      if (event.type === "lost") return onLost(event.message);
      if (event.type === "delete") return;
      const edit = tryParse(() => parseEdit(JSON.parse(event.entry.value)));
      if (edit.isOk()) onEdit(edit.value);
      else onLost(edit.error.message);
    }, "table");
  }

  async #loadSnapshot(
    log: TableLog,
    ref: SnapshotRef,
  ): Promise<Result<void, StoreError>> {
    const pages: ImagePage[] = [];
    for (let page = 0; page < ref.pages; page++) {
      const entry = await this.#store.get(pageKey(ref.name, page), "table");
      if (entry.isErr()) return err(entry.error);
      // A newer snapshot has replaced this one in the meantime. The next read of the head finds the newer one.
      if (!entry.value) return err(missingError(`page ${page} of ${ref.name}`));
      const { value } = entry.value;
      const read = tryParse(() => parsePage(JSON.parse(value)));
      if (read.isErr()) return err(read.error);
      pages.push(read.value);
    }
    const image = joinPages(pages);
    if (!image) return err(missingError(`whole pages of ${ref.name}`));
    log.load(image);
    return ok(undefined);
  }

  async #publishSnapshot(
    ref: SnapshotRef,
    advanceToId: string | undefined,
  ): Promise<Result<void, StoreError>> {
    for (let tries = 0; tries < MAX_SNAPSHOT_ATTEMPTS; tries++) {
      const seen = await this.head(0);
      if (seen.isErr()) return err(seen.error);
      const { head, rev } = seen.value;
      if ((head?.snapshot?.version ?? 0) >= ref.version) return ok(undefined);
      const isBehind = (head?.version ?? 0) < ref.version;
      if (isBehind && advanceToId === undefined) {
        return err(missingError("this head"));
      }
      const { version, id } = isBehind
        ? { version: ref.version, id: advanceToId! }
        : head!;
      const value = JSON.stringify({ version, id, snapshot: ref });
      const put = await this.#store.put(
        HEAD_KEY,
        value,
        { ifRev: rev },
        "table",
      );
      if (put.isOk()) return ok(undefined);
      if (put.error.kind !== "conflict") return err(put.error);
    }
    return err(missingError("a quiet moment of the head"));
  }

  async #deleteReplaced(ref: SnapshotRef): Promise<Result<void, StoreError>> {
    const keys = await this.#oldPages(ref);
    if (keys.isErr()) return err(keys.error);
    const oldEdits = await this.#oldEdits(ref.version - RETAINED_EDITS);
    if (oldEdits.isErr()) return err(oldEdits.error);
    const deletes = [...keys.value, ...oldEdits.value]
      .map((key): Write => ({ type: "delete", key }));
    while (deletes.length > 0) {
      const batch = deletes.splice(0, DELETES_PER_TRANSACTION);
      const result = await this.#store.transact(batch, "table");
      if (result.isErr()) return err(result.error);
    }
    return ok(undefined);
  }

  /** Lists the pages of older snapshots, including unfinished ones, by reading one page of each snapshot. */
  async #oldPages(ref: SnapshotRef): Promise<Result<string[], StoreError>> {
    const keys: string[] = [];
    let fromKey = SNAPSHOT_PREFIX;
    for (;;) {
      const options = { fromKey, limit: 1 };
      const found = await this.#store.list(SNAPSHOT_PREFIX, options, "table");
      if (found.isErr()) return err(found.error);
      const [entry] = found.value.entries;
      const name = entry?.key.slice(SNAPSHOT_PREFIX.length).split("/")[0];
      if (!name || name >= ref.name) return ok(keys);
      const { pages } = JSON.parse(entry.value) as ImagePage;
      for (let page = 0; page < pages; page++) keys.push(pageKey(name, page));
      fromKey = pageKey(name, pages);
    }
  }

  async #oldEdits(upTo: number): Promise<Result<string[], StoreError>> {
    const keys: string[] = [];
    const first = await this.#store.list(LOG_PREFIX, { limit: 1 }, "table");
    if (first.isErr()) return err(first.error);
    const [entry] = first.value.entries;
    if (!entry) return ok(keys);
    const from = Number(entry.key.slice(LOG_PREFIX.length));
    for (let version = from; version <= upTo; version++) {
      keys.push(logKey(version));
    }
    return ok(keys);
  }
}

function tryParse<T>(read: () => T): Result<T, StoreError> {
  try {
    return ok(read());
  } catch (error) {
    const message = `a malformed record: ${(error as Error).message}`;
    return err({ kind: "unavailable", message });
  }
}

function missingError(what: string): StoreError {
  return { kind: "unavailable", message: `the store has not got ${what}` };
}
