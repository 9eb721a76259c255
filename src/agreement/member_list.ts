/**
 * The other VMs of a region as one VM knows them, with the deadlines of those that are suspect or dead.
 *
 * @module
 */

import { hash32 } from "../base/mod.ts";
import type { MemberRecord } from "./member_record.ts";

/** Times of the membership protocol. */
export interface MembershipTimes {
  /** Interval between two pings. */
  readonly periodMs: number;
  /** A suspect has this long to answer, plus `suspectPerDoublingMs` for each doubling of the region's size. */
  readonly suspectMs: number;
  readonly suspectPerDoublingMs: number;
  /**
   * How long a dead VM is remembered, so that outdated news does not bring it back and it is found again once a
   * partition heals.
   */
  readonly rememberDeadMs: number;
  /** How often a VM that is not live is contacted. This heals partitions and adds VMs that are not known yet. */
  readonly meetMs: number;
}

/** The default times. */
export const DEFAULT_MEMBERSHIP_TIMES: MembershipTimes = {
  periodMs: 600,
  suspectMs: 1000,
  suspectPerDoublingMs: 200,
  rememberDeadMs: 600_000,
  meetMs: 2000,
};

/** Maximum number of VMs in the list; it bounds the memory that invalid records can take. */
const MAX_MEMBERS = 1024;

/** How long a VM's table version is passed on. By then all VMs have it, so an unchanged table costs nothing. */
const VERSION_GOSSIP_MS = 10_000;

/** One known VM. */
export interface MemberEntry {
  record: MemberRecord;
  /** When a suspect VM is declared dead, or a dead one is removed from the list. */
  deadlineMs: number;
  tableVersion: number;
  /** When this VM first learned of that version. */
  versionAtMs: number;
}

/** The records of the other VMs of a region. */
export class MemberList {
  readonly #times: MembershipTimes;
  readonly #entries = new Map<string, MemberEntry>();

  constructor(times: MembershipTimes) {
    this.#times = times;
  }

  get(id: string): MemberEntry | undefined {
    return this.#entries.get(id);
  }

  /** Returns all records, including those of dead VMs. */
  all(): MemberRecord[] {
    return [...this.#entries.values()].map((entry) => entry.record);
  }

  /** Returns the live and the suspect VMs. */
  present(): MemberRecord[] {
    return this.all().filter((record) => record.status !== "dead");
  }

  /** Stores a VM's record. Returns whether there was room for it. */
  put(record: MemberRecord, nowMs: number): boolean {
    const known = this.#entries.get(record.id);
    if (!known && this.#entries.size >= MAX_MEMBERS) return false;
    const restarted = known?.record.incarnation !== record.incarnation;
    this.#entries.set(record.id, {
      record,
      deadlineMs: this.#deadlineFor(record, nowMs),
      tableVersion: restarted ? 0 : known!.tableVersion,
      versionAtMs: restarted ? 0 : known!.versionAtMs,
    });
    return true;
  }

  /** Removes dead VMs that are past their deadline. Returns the suspects that are past theirs. */
  expire(nowMs: number): MemberRecord[] {
    const expired: MemberRecord[] = [];
    for (const [id, { record, deadlineMs }] of this.#entries) {
      if (record.status === "live" || nowMs < deadlineMs) continue;
      if (record.status === "dead") this.#entries.delete(id);
      else expired.push(record);
    }
    return expired;
  }

  /** Restarts the deadlines of all suspects. */
  restartSuspicions(nowMs: number): void {
    for (const entry of this.#entries.values()) {
      if (entry.record.status !== "suspect") continue;
      entry.deadlineMs = this.#deadlineFor(entry.record, nowMs);
    }
  }

  recordVersion(vmId: string, version: number, nowMs: number): void {
    const entry = this.#entries.get(vmId);
    if (!entry || version <= entry.tableVersion) return;
    entry.tableVersion = version;
    entry.versionAtMs = nowMs;
  }

  /** Returns the table versions of present VMs that changed recently enough to be passed on. */
  recentVersions(nowMs: number): [vmId: string, version: number][] {
    const versions: [string, number][] = [];
    for (const entry of this.#entries.values()) {
      const { record, tableVersion, versionAtMs } = entry;
      if (record.status === "dead" || tableVersion === 0) continue;
      if (nowMs - versionAtMs > VERSION_GOSSIP_MS) continue;
      versions.push([record.id, tableVersion]);
    }
    return versions;
  }

  #deadlineFor(record: MemberRecord, nowMs: number): number {
    if (record.status === "dead") return nowMs + this.#times.rememberDeadMs;
    const doublings = Math.log2(this.present().length + 1);
    return nowMs + this.#times.suspectMs +
      this.#times.suspectPerDoublingMs * doublings;
  }
}

/** Returns a digest of the present VMs; equal sets have equal digests. */
export function viewDigest(present: readonly MemberRecord[]): number {
  let digest = 0;
  for (const { id, incarnation, beat } of present) {
    digest = (digest ^ hash32(`${id}/${incarnation}/${beat}`)) >>> 0;
  }
  return digest;
}
