/**
 * The other VMs of a region as one VM knows them, with the deadlines of those that are suspect or dead.
 *
 * @module
 */

import { hash32 } from "../base/mod.ts";
import type { MemberRecord } from "./member_record.ts";

/** Times of membership. */
export interface MembershipTimes {
  /** One ping in this time. */
  readonly periodMs: number;
  /** A suspect has this long to answer, and a part more for each doubling of the region. */
  readonly suspectMs: number;
  readonly suspectPerDoublingMs: number;
  /** How long a dead VM is remembered, so that old news does not bring it back and a healed link finds it. */
  readonly rememberDeadMs: number;
  /** How often a VM that is not live is tried: this heals partitions and joins strangers. */
  readonly meetMs: number;
}

/** See {@link MembershipTimes}. */
export const DEFAULT_MEMBERSHIP_TIMES: MembershipTimes = {
  periodMs: 600,
  suspectMs: 1000,
  suspectPerDoublingMs: 200,
  rememberDeadMs: 600_000,
  meetMs: 2000,
};

/** Bounds the memory that wrong records can take. */
const MAX_MEMBERS = 1024;

/** How long a VM's table version is passed on: all have heard it by then, and an idle table costs nothing. */
const VERSION_GOSSIP_MS = 10_000;

/** One known VM. */
export interface MemberEntry {
  record: MemberRecord;
  /** While suspect: dead from then on. While dead: forgotten from then on. */
  deadlineMs: number;
  tableVersion: number;
  /** When that version was first heard of. */
  versionAtMs: number;
}

/** See the module's comment. */
export class MemberList {
  readonly #times: MembershipTimes;
  readonly #entries = new Map<string, MemberEntry>();

  constructor(times: MembershipTimes) {
    this.#times = times;
  }

  get(id: string): MemberEntry | undefined {
    return this.#entries.get(id);
  }

  /** Every record, the dead ones too. */
  all(): MemberRecord[] {
    return [...this.#entries.values()].map((entry) => entry.record);
  }

  /** The VMs that answer or have time left to. */
  present(): MemberRecord[] {
    return this.all().filter((record) => record.status !== "dead");
  }

  /** Sets the record of its VM; answers whether there was room. */
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

  /** Forgets the long dead; answers with the suspects whose time is up. */
  expire(nowMs: number): MemberRecord[] {
    const expired: MemberRecord[] = [];
    for (const [id, { record, deadlineMs }] of this.#entries) {
      if (record.status === "live" || nowMs < deadlineMs) continue;
      if (record.status === "dead") this.#entries.delete(id);
      else expired.push(record);
    }
    return expired;
  }

  /** Gives all suspects their whole time again. */
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

  /** The table versions of VMs that are present, where they are news. */
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

/** A digest of who is present, the same for equal sets. */
export function viewDigest(present: readonly MemberRecord[]): number {
  let digest = 0;
  for (const { id, incarnation, beat } of present) {
    digest = (digest ^ hash32(`${id}/${incarnation}/${beat}`)) >>> 0;
  }
  return digest;
}
