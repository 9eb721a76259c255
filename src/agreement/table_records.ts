/**
 * The records of the table in the platform's store and between VMs: edits of the log, the head, and images split into
 * pages.
 *
 * Keys: `table/head` holds a {@link TableHead}; `table/log/VERSION` one {@link LoggedEdit}; `table/snap/NAME/PAGE` the
 * {@link ImagePage}s of a snapshot.
 *
 * @module
 */

import { z } from "zod";
import { tableRow } from "./rows.ts";
import { type Edit, Table, type VersionedRow } from "./table.ts";

/** The head's key. Each edit and each snapshot changes it by compare-and-swap. */
export const HEAD_KEY = "table/head";
/** Prefix of all keys of the log. */
export const LOG_PREFIX = "table/log/";
/** Prefix of all keys of snapshots. */
export const SNAPSHOT_PREFIX = "table/snap/";

/** Maximum size of a log record in characters of JSON, well below the store's limit of one megabyte. */
export const MAX_EDIT_CHARS = 256 * 1024;
/** Maximum size of an image's page in characters of JSON. */
export const MAX_PAGE_CHARS = 256 * 1024;

/** Returns the log key of a version. Keys sort in the order of versions. */
export function logKey(version: number): string {
  return LOG_PREFIX + String(version).padStart(12, "0");
}

/** Returns the key of a snapshot's page. */
export function pageKey(name: string, page: number): string {
  return `${SNAPSHOT_PREFIX}${name}/${String(page).padStart(6, "0")}`;
}

/** An {@link Edit} as it is stored in the log. */
export interface LoggedEdit extends Edit {
  /**
   * The id of the previous edit; empty for the first. It reveals an edit of another history, such as that of a restored
   * backup.
   */
  readonly prevId: string;
}

/** Identifies a stored snapshot. */
export interface SnapshotRef {
  readonly version: number;
  readonly name: string;
  readonly pages: number;
}

/** The newest accepted version. */
export interface TableHead {
  readonly version: number;
  /** The id of the edit that made this version. */
  readonly id: string;
  readonly snapshot?: SnapshotRef;
}

/** An edit's id and the version it made. */
export interface EditRef {
  readonly id: string;
  readonly version: number;
}

/** A whole table with the id of its last edit. */
export interface TableImage {
  readonly table: Table;
  readonly lastId: string;
  /** The newest edits, oldest first, so that a repeated or unsettled edit is recognized even after a snapshot. */
  readonly recent: readonly EditRef[];
}

/** A part of a {@link TableImage}. */
export interface ImagePage {
  readonly version: number;
  readonly lastId: string;
  readonly page: number;
  readonly pages: number;
  readonly rows: readonly VersionedRow[];
  /** On the first page only. */
  readonly recent?: readonly EditRef[];
}

const version = z.number().int().min(0);

const rowChange = z.discriminatedUnion("type", [
  z.object({
    type: z.literal("put"),
    row: tableRow,
    ifVersion: version.optional(),
  }),
  z.object({
    type: z.literal("delete"),
    key: z.string(),
    ifVersion: version.optional(),
  }),
]);

const loggedEdit = z.object({
  version: version.min(1),
  id: z.string(),
  prevId: z.string(),
  author: z.string(),
  atMs: z.number(),
  changes: z.array(rowChange),
});

const tableHead = z.object({
  version,
  id: z.string(),
  snapshot: z.object({ version, name: z.string(), pages: z.number().int() })
    .optional(),
});

const imagePage = z.object({
  version,
  lastId: z.string(),
  page: z.number().int(),
  pages: z.number().int(),
  rows: z.array(z.object({ row: tableRow, version })),
  recent: z.array(z.object({ id: z.string(), version })).optional(),
});

/** Checks an edit that came from the store or another VM; throws if it is malformed. */
export function parseEdit(input: unknown): LoggedEdit {
  return loggedEdit.parse(input);
}
/** Checks changes that an operator sent; throws a `ZodError` that names the field. */
export function parseChanges(input: unknown): z.infer<typeof rowChange>[] {
  return z.array(rowChange).min(1).parse(input);
}
/** Checks a head; throws if it is malformed. */
export function parseTableHead(input: unknown): TableHead {
  return tableHead.parse(input);
}
/** Checks a page of an image; throws if it is malformed. */
export function parsePage(input: unknown): ImagePage {
  return imagePage.parse(input);
}

/** Splits an image into pages below {@link MAX_PAGE_CHARS}; there is always at least one. */
export function splitImage(
  image: TableImage,
  maxChars = MAX_PAGE_CHARS,
): ImagePage[] {
  const parts: VersionedRow[][] = [[]];
  let chars = 0;
  for (const versioned of image.table.rows()) {
    const rowChars = JSON.stringify(versioned).length + 1;
    if (chars + rowChars > maxChars && chars > 0) {
      parts.push([]);
      chars = 0;
    }
    parts[parts.length - 1].push(versioned);
    chars += rowChars;
  }
  return parts.map((rows, page) => ({
    version: image.table.version,
    lastId: image.lastId,
    page,
    pages: parts.length,
    rows,
    ...(page === 0 ? { recent: image.recent } : {}),
  }));
}

/** Joins pages into an image; `undefined` if a page is missing or they are of different versions. */
export function joinPages(pages: readonly ImagePage[]): TableImage | undefined {
  const [first] = pages;
  if (!first || pages.length !== first.pages) return undefined;
  const isComplete = pages.every((page, i) =>
    page.page === i && page.version === first.version &&
    page.lastId === first.lastId
  );
  if (!isComplete) return undefined;
  const rows = pages.flatMap((page) => page.rows);
  return {
    table: Table.of(first.version, rows),
    lastId: first.lastId,
    recent: first.recent ?? [],
  };
}
