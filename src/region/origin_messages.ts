/**
 * The messages in which VMs tell each other which versions began streams, and ask for them.
 *
 * @module
 */

import { digest64 } from "../base/mod.ts";
import { type FoundOrigin, ORIGIN_KEY_LENGTH } from "./origins.ts";

/**
 * Streams that one version of a service began, or `null` if it can't be told which: their keys, one after the other. It
 * is a tuple since a batch carries several. VMs of the former program name no service.
 */
export type OriginRow = readonly [
  version: string | null,
  keys: string,
  service?: string,
];

/** The origin of a stream, by its key. */
export type KeyedOrigin = readonly [
  key: string,
  version: string | null,
  service?: string | undefined,
];

/** Asks which version began a stream of a service. */
export interface OriginQuery {
  /** Number of the query at the asking VM. */
  readonly question: number;
  readonly service: string;
  /** The name under which the targets of the stream's route are watched. */
  readonly route?: string | undefined;
  readonly key: string;
}

/** Answers an {@link OriginQuery}. */
export interface OriginReply {
  readonly question: number;
  /** Absent if the origin is not known there, or ambiguous. */
  readonly version?: string;
  /** The service that began it. */
  readonly service?: string | undefined;
  /** Time since the stream began. */
  readonly ageMs?: number;
  readonly isAmbiguous?: true;
  /** The versions of the service that were seen there within the time for which origins are kept. */
  readonly seen: readonly string[];
  /** The targets of the route that were seen there within that time; absent from a VM of the former program. */
  readonly seenTargets?: readonly string[];
  /**
   * Whether these are all: the VM has watched for that long, or has read what served before it, and hears the store.
   * Absent from a VM of the former program, which told all that it had seen.
   */
  readonly knowsAll?: boolean;
}

/** A longer text is no version, but comes from another program. */
const MAX_VERSION_LENGTH = 200;
const MAX_SEEN = 32;

function isVersion(value: unknown): value is string {
  return typeof value === "string" && value.length <= MAX_VERSION_LENGTH;
}

/** Whether a version can be sent to other VMs. */
export const canTellVersion = isVersion;

/** Makes a name fit into a message: it is enough that long ones stay different from others. */
export function fitName(name: string): string {
  return isVersion(name) ? name : digest64([name]);
}

/** What a reply tells of an origin that is known. */
export function encodeKnown(
  found: FoundOrigin | undefined,
): Pick<OriginReply, "version" | "service" | "ageMs"> {
  if (found?.type !== "known") return {};
  const { version, service, ageMs } = found;
  return { version, service, ageMs: Math.round(ageMs) };
}

/** Makes versions fit into a reply: it is enough that two stay two. */
export function encodeSeen(versions: readonly string[]): string[] {
  return versions.slice(0, MAX_SEEN).map(fitName);
}

/** Makes rows of the origins of streams. */
export function toOriginRows(origins: Iterable<KeyedOrigin>): OriginRow[] {
  const rows = new Map<string, [KeyedOrigin, string[]]>();
  for (const origin of origins) {
    const [key, version, service] = origin;
    const name = JSON.stringify([version, service]);
    const row = rows.get(name);
    if (row) row[1].push(key);
    else rows.set(name, [origin, [key]]);
  }
  return [...rows.values()].map(([[, version, service], keys]) =>
    service === undefined
      ? [version, keys.join("")]
      : [version, keys.join(""), service]
  );
}

/** Splits the keys of a row. */
export function splitKeys(keys: string): string[] {
  const split: string[] = [];
  for (let at = 0; at < keys.length; at += ORIGIN_KEY_LENGTH) {
    split.push(keys.slice(at, at + ORIGIN_KEY_LENGTH));
  }
  return split;
}

/** Decodes a batch of rows; malformed ones are left out. */
export function decodeOriginRows(params: unknown): OriginRow[] {
  if (!Array.isArray(params)) return [];
  return params.filter((row): row is OriginRow =>
    Array.isArray(row) && (row[0] === null || isVersion(row[0])) &&
    typeof row[1] === "string" &&
    row[1].length % ORIGIN_KEY_LENGTH === 0 &&
    (row[2] === undefined || isVersion(row[2]))
  );
}

/** Decodes a query; `undefined` if it is malformed. */
export function decodeOriginQuery(params: unknown): OriginQuery | undefined {
  const query = params as Partial<OriginQuery> | null;
  return typeof query?.question === "number" &&
      typeof query.service === "string" && typeof query.key === "string" &&
      (query.route === undefined || typeof query.route === "string")
    ? query as OriginQuery
    : undefined;
}

function isSeen(seen: unknown): seen is string[] {
  return Array.isArray(seen) && seen.length <= MAX_SEEN &&
    seen.every(isVersion);
}

/** Decodes a reply; `undefined` if it is malformed. */
export function decodeOriginReply(params: unknown): OriginReply | undefined {
  const reply = params as Partial<OriginReply> | null;
  return typeof reply?.question === "number" &&
      (reply.version === undefined || isVersion(reply.version)) &&
      (reply.ageMs === undefined || Number.isFinite(reply.ageMs)) &&
      (reply.service === undefined || isVersion(reply.service)) &&
      isSeen(reply.seen) &&
      (reply.seenTargets === undefined || isSeen(reply.seenTargets))
    ? reply as OriginReply
    : undefined;
}
