/**
 * Decodes the messages by which VMs know each other. One field of another type spoils the whole message: the next one makes
 * up for it.
 *
 * @module
 */

import {
  type Check,
  isBoolean,
  isNumber,
  isText,
  listOf,
  mapOf,
  nullable,
  objectOf,
  optional,
  tupleOf,
} from "../base/mod.ts";
import type { HeldPart, SendOutcome } from "../routing/mod.ts";
import type {
  LeadRecord,
  LoadNote,
  NamedList,
  PassedDigest,
  RegionDigest,
  ReplicaState,
  ReplicaStates,
  Report,
  Roster,
  RosterState,
  SeenOutcome,
  UpstreamLoad,
} from "./messages.ts";
import { isVmRecord } from "./record.ts";

/** Whether a value can be an outcome; those of other programs may be none that this one knows. */
function isOutcome(value: unknown): value is SendOutcome {
  return isText(value);
}

/** Whether a value is a time that has passed, in ms. */
function isAge(value: unknown): value is number {
  return isNumber(value) && value >= 0;
}

function isNeed(value: unknown): value is Report["rosterNeed"] {
  return [undefined, "partial", "complete"].includes(value as undefined);
}

const isReplicaState = objectOf<ReplicaState>({
  generation: optional(isNumber),
  rev: isNumber,
  digest: isText,
});

const areReplicaStates = objectOf<ReplicaStates>({
  operators: isReplicaState,
  upstreams: isReplicaState,
});

const isLoad = mapOf(tupleOf<UpstreamLoad>(isNumber, isNumber));
const areHeld = listOf(tupleOf<HeldPart>(isText, isText));
const areVms = listOf(isVmRecord);

const isRosterState = objectOf<RosterState>({
  copies: areReplicaStates,
  isServed: isBoolean,
  configVersion: optional(isNumber),
  restoredAgoMs: optional(isNumber),
  configAgeMs: optional(nullable(isNumber)),
  leavingUpstreams: optional(listOf(isText)),
});

const hasReportFields = objectOf<
  Pick<
    Report,
    "ready" | "servesMs" | "load" | "asked" | "everyMs" | "rosterNeed" | "held"
  >
>({
  ready: isBoolean,
  servesMs: optional(isNumber),
  load: isLoad,
  asked: isNumber,
  everyMs: isNumber,
  rosterNeed: isNeed,
  held: optional(areHeld),
});

const isLoadNote = objectOf<LoadNote>({
  id: isText,
  load: isLoad,
  asked: isNumber,
  seen: listOf(tupleOf<SeenOutcome>(isText, isOutcome)),
  held: areHeld,
});

const hasDigestFields = objectOf<Omit<RegionDigest, "room" | "isAhead">>({
  from: isVmRecord,
  everyMs: isNumber,
  leads: areVms,
  ready: listOf(isText),
  vms: isNumber,
  copies: areReplicaStates,
  configVersion: optional(isNumber),
  restoredAgoMs: optional(isNumber),
  held: optional(areHeld),
  yours: optional(areVms),
});

/** What a region offers; there is no limit where JSON has `null`. */
const hasRoom = objectOf<Pick<RegionDigest, "room">>({
  room: mapOf(objectOf({
    free: nullable(isNumber),
    queue: nullable(isNumber),
    isRecovering: optional(isBoolean),
  })),
});

const isDigest: Check<RegionDigest> = (value): value is RegionDigest =>
  hasDigestFields(value) && hasRoom(value);

const hasAge = objectOf<Pick<PassedDigest, "ageMs">>({ ageMs: isAge });

const isPassedDigest: Check<PassedDigest> = (value): value is PassedDigest =>
  isDigest(value) && hasAge(value);

const hasLeadFields = objectOf<Pick<LeadRecord, "isServed" | "mayLead">>({
  isServed: isBoolean,
  mayLead: isBoolean,
});

const isLead: Check<LeadRecord> = (value): value is LeadRecord =>
  isVmRecord(value) && hasLeadFields(value);

const isNamedList = objectOf<NamedList>({
  ready: listOf(isText),
  leaving: listOf(tupleOf<readonly [string, number]>(isText, isNumber)),
});

const hasRosterFields = objectOf<
  Omit<Roster, keyof RosterState | "isPartial">
>({
  from: isVmRecord,
  everyMs: isNumber,
  leads: listOf(isLead),
  heardLeads: optional(listOf(isText)),
  vms: isNumber,
  named: optional(isNamedList),
  load: isLoad,
  regions: listOf(isPassedDigest),
});

/** Decodes a report; `undefined` if it is malformed. */
export function decodeReport(params: unknown): Report | undefined {
  const isReport = isVmRecord(params) && isRosterState(params) &&
    hasReportFields(params);
  return isReport ? params as Report : undefined;
}

/** Decodes a load note; `undefined` if it is malformed. */
export function decodeLoadNote(params: unknown): LoadNote | undefined {
  return isLoadNote(params) ? params : undefined;
}

/** Decodes a digest; `undefined` if it is malformed. */
export function decodeDigest(params: unknown): RegionDigest | undefined {
  return isDigest(params) ? params : undefined;
}

/** Decodes a roster; `undefined` if it is malformed. */
export function decodeRoster(params: unknown): Roster | undefined {
  const isRoster = isRosterState(params) && hasRosterFields(params);
  return isRoster ? params as Roster : undefined;
}
