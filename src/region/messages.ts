/**
 * The membership messages between VMs, and the decoding of their datagrams.
 *
 * @module
 */

import type { HeldPart, OfferedCapacity, SendOutcome } from "../routing/mod.ts";
import type { VmRecord } from "./record.ts";

/** What a VM announces of its copy of a part of the store. Copies with the same digest hold the same. */
export interface ReplicaState {
  /** How often the store has come back from an older copy; absent: 0, or the store does not say. */
  readonly generation?: number;
  /** The store's revision up to which the copy is complete. */
  readonly rev: number;
  /** Digest of all that the copy holds. */
  readonly digest: string;
}

/** The order of two copies' states, positive if `a` is newer: revisions count only within a generation. */
export function compareReplicaStates(
  a: Omit<ReplicaState, "digest">,
  b: Omit<ReplicaState, "digest">,
): number {
  return (a.generation ?? 0) - (b.generation ?? 0) || a.rev - b.rev;
}

/** The states of a VM's copies, by kind of entry. */
export interface ReplicaStates {
  readonly operators: ReplicaState;
  readonly upstreams: ReplicaState;
}

/** Picks what a roster carries of a VM's state. */
export function pickRosterState(
  {
    copies,
    isServed,
    configVersion,
    restoredAgoMs,
    configAgeMs,
    leavingUpstreams,
  }: RosterState,
): RosterState {
  return {
    copies,
    isServed,
    configVersion,
    restoredAgoMs,
    configAgeMs,
    leavingUpstreams,
  };
}

/**
 * The load at one upstream: running requests, and prompt tokens that wait there. It is a tuple rather than an object, since
 * a message carries one for each upstream.
 */
export type UpstreamLoad = readonly [running: number, waitingTokens: number];

/** Loads by upstream key. */
export type Load = Readonly<Record<string, UpstreamLoad>>;

/** Capacity that a region offers to others, by service. */
export type Room = Readonly<Record<string, OfferedCapacity>>;

/** The outcome of one send to an upstream. */
export type SeenOutcome = readonly [upstreamKey: string, outcome: SendOutcome];

/** The state that a VM reports of itself, besides its identity. */
export interface VmState {
  readonly ready: boolean;
  /** How long it still serves, in ms from the message on; set only while it drains. */
  readonly servesMs?: number;
  readonly copies: ReplicaStates;
  /** Whether the store answers its requests. */
  readonly isServed: boolean;
  /** Version of the configuration in force there; set only if its copy of the store holds an older one or none. */
  readonly configVersion?: number;
  /** How long ago it learned that the store came back from an older copy; set only for some seconds after. */
  readonly restoredAgoMs?: number;
  /** How long ago it certainly had the newest configuration, in ms; set only if the operators' settings require it. */
  readonly configAgeMs?: number;
  /** Upstreams of its region that said in answers that they leave while the store does not say so yet. */
  readonly leavingUpstreams?: readonly string[];
}

/** The part of a VM's state that its rosters carry too. */
export type RosterState = Pick<
  VmState,
  | "copies"
  | "isServed"
  | "configVersion"
  | "restoredAgoMs"
  | "configAgeMs"
  | "leavingUpstreams"
>;

/** The load of one VM. */
export interface VmLoad {
  readonly load: Load;
  /** Number of a question to the lead. Requests granted up to this one are included in `load`, or were not sent. */
  readonly asked: number;
}

/**
 * Which rosters a VM needs from leads other than the first: partial ones while it hears the first lead. VMs of earlier
 * versions don't state it and need complete ones.
 */
export type RosterNeed = "partial" | "complete";

/** Heartbeat of a VM to the leads of its region. A VM that stays silent is considered gone. */
export interface Report extends VmRecord, VmState, VmLoad {
  /** Time to the next report, in ms. */
  readonly everyMs: number;
  readonly rosterNeed?: RosterNeed;
  /** Shared prompt parts that engines cached for it recently. */
  readonly held?: readonly HeldPart[];
}

/** Sent by a VM to the first lead between two reports, when its load has changed. */
export interface LoadNote extends VmLoad {
  readonly id: string;
  readonly seen: readonly SeenOutcome[];
  /** Shared prompt parts that engines cached for it since the last note. */
  readonly held: readonly HeldPart[];
}

/** A VM near the head of a region's lead order. */
export interface LeadRecord extends VmRecord {
  readonly isServed: boolean;
  /** Whether it takes requests and is not draining; other VMs lead only if there is no such VM. */
  readonly mayLead: boolean;
}

/** Sent by a lead to the leads of another region. */
export interface RegionDigest {
  readonly from: VmRecord;
  readonly everyMs: number;
  /** The head of the region's lead order. */
  readonly leads: readonly VmRecord[];
  /** Addresses of some VMs that take requests. */
  readonly ready: readonly string[];
  /** Number of VMs of the region. Silent ones count, as they may only be cut off. */
  readonly vms: number;
  readonly copies: ReplicaStates;
  /** See {@link VmState.configVersion}. */
  readonly configVersion?: number;
  /** See {@link VmState.restoredAgoMs}. */
  readonly restoredAgoMs?: number;
  readonly room: Room;
  /** Shared prompt parts that its engines cached recently. Engines elsewhere copy them instead of computing them again. */
  readonly held?: readonly HeldPart[];
  /** Leads of the receiver's region, for a receiver that has found none. */
  readonly yours?: readonly VmRecord[];
  /** Set if it is sent ahead of schedule since fewer VMs take requests; it is passed on at once. */
  readonly isAhead?: true;
}

/** A digest that a lead passes on to the VMs of its region. */
export interface PassedDigest extends RegionDigest {
  readonly ageMs: number;
}

/** The VMs of a region that callers may use. */
export interface NamedList {
  /** At most {@link MAX_NAMED} addresses of VMs that take requests. */
  readonly ready: readonly string[];
  /** Draining VMs with the time that they still serve, in ms. */
  readonly leaving: readonly (readonly [ip: string, servesMs: number])[];
}

/** Sent by a lead to the VMs of its region. */
export interface Roster extends RosterState {
  readonly from: VmRecord;
  readonly everyMs: number;
  /**
   * Set in a roster of a lead other than the first for VMs that hear the first lead. It carries no loads, and no digest that
   * the first lead passes on too.
   */
  readonly isPartial?: true;
  /** The head of the region's lead order: leads and standbys. If empty, the previous one stays valid. */
  readonly leads: readonly LeadRecord[];
  /** The other leads that report to this one, by id. */
  readonly heardLeads?: readonly string[];
  readonly vms: number;
  /** Sent now and then; otherwise the previous list stays valid. */
  readonly named?: NamedList;
  /** The loads of all VMs of the region together. */
  readonly load: Load;
  /** The latest digests of other regions. */
  readonly regions: readonly PassedDigest[];
}

/** Maximum addresses in one list: as many as callers take from an answer, which makes a datagram of about 1 KB. */
export const MAX_NAMED = 64;
