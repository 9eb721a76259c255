/**
 * What VMs tell each other of themselves, and how a datagram is read.
 *
 * @module
 */

import type { HeldPart, OfferedCapacity, SendOutcome } from "../routing/mod.ts";
import { isVmRecord, type VmRecord } from "./record.ts";

/** Revision of the last news of each matter of the store that a VM has: who is ahead can be asked. */
export interface Revisions {
  readonly operators: number;
  readonly upstreams: number;
}

/**
 * What is under way at one upstream: requests running, and prompt tokens that wait there. A pair and no record, since a
 * message carries one for each upstream.
 */
export type UpstreamLoad = readonly [running: number, waitingTokens: number];

/** Load by upstream key. */
export type Load = Readonly<Record<string, UpstreamLoad>>;

/** Places by service. */
export type Room = Readonly<Record<string, OfferedCapacity>>;

/** What became of a send, by upstream key. */
export type SeenOutcome = readonly [upstreamKey: string, outcome: SendOutcome];

/** What a VM says of itself, besides who it is. */
export interface VmState {
  readonly ready: boolean;
  /** How long it still serves, in ms from the message on; only while it is being stopped. */
  readonly servesMs?: number;
  readonly revisions: Revisions;
  /** Whether the store answers its questions. */
  readonly isServed: boolean;
  /** How long ago it surely knew the newest configuration; only where operators ask for that. */
  readonly configAgeMs?: number;
}

/** What a VM has under way. */
export interface VmLoad {
  readonly load: Load;
  /** All of its questions to the lead up to this number are part of `load`, or came to nothing. */
  readonly asked: number;
}

/** What a VM tells the leads of its region, again and again; silence means that it is gone. */
export interface Report extends VmRecord, VmState, VmLoad {
  /** Time to the next report, in ms. */
  readonly everyMs: number;
  /** Shared parts of prompts that engines read for it lately. */
  readonly held?: readonly HeldPart[];
}

/** What a VM tells the first lead between two reports, when its load has changed. */
export interface LoadNote extends VmLoad {
  readonly id: string;
  readonly seen: readonly SeenOutcome[];
  /** Shared parts of prompts that engines read for it since the last note. */
  readonly held: readonly HeldPart[];
}

/** A VM near the head of a region's order. */
export interface LeadRecord extends VmRecord {
  readonly isServed: boolean;
  /** Whether it takes requests and is not being stopped; others lead only where nobody else does. */
  readonly mayLead: boolean;
}

/** What a region tells the leads of another. */
export interface RegionDigest {
  readonly from: VmRecord;
  readonly everyMs: number;
  /** The head of the region's order. */
  readonly leads: readonly VmRecord[];
  /** Addresses of some VMs that take requests. */
  readonly ready: readonly string[];
  /** VMs of the region, silent ones included as they may only be cut off. */
  readonly vms: number;
  readonly revisions: Revisions;
  readonly room: Room;
  /** Shared parts of prompts that its engines have read lately: others copy them in place of reading them again. */
  readonly held?: readonly HeldPart[];
  /** Leads of the receiver's region, for one that has found none. */
  readonly yours?: readonly VmRecord[];
}

/** A digest that was passed on. */
export interface PassedDigest extends RegionDigest {
  readonly ageMs: number;
}

/** Which VMs of a region callers may use. */
export interface NamedList {
  /** At most {@link MAX_NAMED} addresses of VMs that take requests. */
  readonly ready: readonly string[];
  /** VMs that are being stopped, with the time that they still serve, in ms. */
  readonly leaving: readonly (readonly [ip: string, servesMs: number])[];
}

/** What a lead tells the VMs of its region. */
export interface Roster {
  readonly from: VmRecord;
  readonly everyMs: number;
  /** The head of the region's order: leads and standbys. */
  readonly leads: readonly LeadRecord[];
  readonly vms: number;
  readonly revisions: Revisions;
  readonly isServed: boolean;
  /** As in {@link VmState}. */
  readonly configAgeMs?: number;
  /** Absent in a short roster: the last list holds on. */
  readonly named?: NamedList;
  /** What all VMs of the region have under way. */
  readonly load: Load;
  /** Other regions. */
  readonly regions: readonly PassedDigest[];
}

/** Most addresses of one list: what callers take from an answer, and a datagram of about a kilobyte. */
export const MAX_NAMED = 64;

function isList(value: unknown): value is unknown[] {
  return Array.isArray(value);
}

function isRevisions(value: unknown): value is Revisions {
  const revisions = value as Partial<Revisions> | null;
  return typeof revisions?.operators === "number" &&
    typeof revisions.upstreams === "number";
}

/** Reads a report; `undefined` if it is none. */
export function decodeReport(params: unknown): Report | undefined {
  if (!isVmRecord(params)) return undefined;
  const report = params as Report;
  return isRevisions(report.revisions) &&
      typeof report.everyMs === "number" && typeof report.load === "object"
    ? report
    : undefined;
}

/** Reads a note of load; `undefined` if it is none. */
export function decodeLoadNote(params: unknown): LoadNote | undefined {
  const note = params as Partial<LoadNote> | null;
  return typeof note?.id === "string" && typeof note.load === "object" &&
      typeof note.asked === "number" && isList(note.seen)
    ? note as LoadNote
    : undefined;
}

/** Reads a digest; `undefined` if it is none. */
export function decodeDigest(params: unknown): RegionDigest | undefined {
  const digest = params as Partial<RegionDigest> | null;
  return isVmRecord(digest?.from) && isRevisions(digest.revisions) &&
      isList(digest.leads) && isList(digest.ready) &&
      typeof digest.everyMs === "number"
    ? digest as RegionDigest
    : undefined;
}

/** Reads a roster; `undefined` if it is none. */
export function decodeRoster(params: unknown): Roster | undefined {
  const roster = params as Partial<Roster> | null;
  return isVmRecord(roster?.from) && isRevisions(roster.revisions) &&
      isList(roster.leads) && isList(roster.regions) &&
      typeof roster.everyMs === "number"
    ? roster as Roster
    : undefined;
}
