/**
 * Which versions of its upstreams' software each service had lately, and whether this VM can know all of them.
 *
 * @module
 */

import { ORIGIN_TTL_MS } from "./origins.ts";

/** The versions of each service, by its name. */
export type VersionRecord = ReadonlyMap<string, readonly string[]>;

/** In a longer pause of this process upstreams of a version may have come and gone. */
const MAX_UNWATCHED_MS = 5_000;

/** A moment on both clocks: the monotonic one stands still while a machine is suspended. */
export interface Moment {
  readonly monoMs: number;
  readonly wallMs: number;
}

/** The versions that upstreams of each service had within {@link ORIGIN_TTL_MS}. Times are of a monotonic clock. */
export class ServedVersions {
  readonly #seenMs = new Map<string, Map<string, number>>();
  #watchedSinceMs: number;
  #watchedUntil: Moment;
  /** Whether what VMs recorded that ran before this process was read. */
  #hasRecord = false;

  /** `since`: when this VM began to watch. */
  constructor(since: Moment) {
    this.#watchedSinceMs = since.monoMs;
    this.#watchedUntil = since;
  }

  /** Notes that an upstream of a service has a version. */
  note(service: string, version: string, nowMs: number): void {
    const versions = this.#seenMs.get(service) ?? new Map<string, number>();
    versions.set(version, nowMs);
    this.#seenMs.set(service, versions);
  }

  /** Notes what was recorded of the versions in service before. */
  noteRecord(record: VersionRecord, nowMs: number): void {
    this.#hasRecord = true;
    for (const [service, versions] of record) {
      for (const version of versions) this.note(service, version, nowMs);
    }
  }

  /** Notes that this VM is watching. Returns whether it was held up for so long before that it begins anew. */
  noteWatching(now: Moment): boolean {
    const { monoMs, wallMs } = this.#watchedUntil;
    const heldUpMs = Math.max(now.monoMs - monoMs, now.wallMs - wallMs);
    this.#watchedUntil = now;
    if (heldUpMs <= MAX_UNWATCHED_MS) return false;
    this.#watchedSinceMs = now.monoMs;
    this.#hasRecord = false;
    return true;
  }

  /** How long this VM has watched. */
  watchedMs(nowMs: number): number {
    return nowMs - this.#watchedSinceMs;
  }

  /**
   * Whether no version escaped this VM that may have begun a stream whose origin is still kept. A process that has just
   * started sees what serves now; what served before it only knows from the record.
   */
  knowsAll(nowMs: number): boolean {
    return this.#hasRecord || this.watchedMs(nowMs) >= ORIGIN_TTL_MS;
  }

  /** The versions of a service. */
  recent(service: string, nowMs: number): string[] {
    const versions = this.#seenMs.get(service) ?? new Map<string, number>();
    for (const [version, seenMs] of versions) {
      if (nowMs - seenMs >= ORIGIN_TTL_MS) versions.delete(version);
    }
    return [...versions.keys()];
  }

  /** The versions of all services, as they are to be recorded. */
  record(nowMs: number): VersionRecord {
    const record = new Map<string, readonly string[]>();
    for (const service of [...this.#seenMs.keys()].sort()) {
      const versions = this.recent(service, nowMs).sort();
      if (versions.length > 0) record.set(service, versions);
    }
    return record;
  }
}

/** Encodes a record; equal records give equal texts. */
export function encodeVersionRecord(record: VersionRecord): string {
  return JSON.stringify([...record]);
}

function isRow(row: unknown): row is [string, string[]] {
  return Array.isArray(row) && typeof row[0] === "string" &&
    Array.isArray(row[1]) &&
    row[1].every((version) => typeof version === "string");
}

/** Decodes a record; `undefined` if it is malformed. */
export function decodeVersionRecord(text: string): VersionRecord | undefined {
  try {
    const rows: unknown = JSON.parse(text);
    return Array.isArray(rows) && rows.every(isRow) ? new Map(rows) : undefined;
  } catch {
    return undefined;
  }
}
