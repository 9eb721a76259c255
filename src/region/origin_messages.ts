/**
 * The messages in which VMs tell each other which versions began streams, and ask for them.
 *
 * @module
 */

import { digest64 } from "../base/mod.ts";
import { ORIGIN_KEY_LENGTH } from "./origins.ts";

/**
 * Streams that one version began, or `null` if it can't be told which: their keys, one after the other. It is a tuple
 * since a batch carries several.
 */
export type OriginRow = readonly [version: string | null, keys: string];

/** Asks which version began a stream of a service. */
export interface OriginQuery {
  /** Number of the query at the asking VM. */
  readonly question: number;
  readonly service: string;
  readonly key: string;
}

/** Answers an {@link OriginQuery}. */
export interface OriginReply {
  readonly question: number;
  /** Absent if the origin is not known there, or ambiguous. */
  readonly version?: string;
  /** Time since the stream began. */
  readonly ageMs?: number;
  readonly isAmbiguous?: true;
  /** The versions of the service that were seen there within the time for which origins are kept. */
  readonly seen: readonly string[];
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

/** Makes versions fit into a reply: it is enough that two stay two, and that long ones stay different from others. */
export function encodeSeen(versions: readonly string[]): string[] {
  return versions.slice(0, MAX_SEEN).map((version) =>
    isVersion(version) ? version : digest64([version])
  );
}

/** Makes rows of the versions of streams, by their keys. */
export function toOriginRows(
  versions: Iterable<readonly [key: string, version: string | null]>,
): OriginRow[] {
  const keysOf = new Map<string | null, string[]>();
  for (const [key, version] of versions) {
    const keys = keysOf.get(version);
    if (keys) keys.push(key);
    else keysOf.set(version, [key]);
  }
  return [...keysOf].map(([version, keys]) => [version, keys.join("")]);
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
    row[1].length % ORIGIN_KEY_LENGTH === 0
  );
}

/** Decodes a query; `undefined` if it is malformed. */
export function decodeOriginQuery(params: unknown): OriginQuery | undefined {
  const query = params as Partial<OriginQuery> | null;
  return typeof query?.question === "number" &&
      typeof query.service === "string" && typeof query.key === "string"
    ? query as OriginQuery
    : undefined;
}

/** Decodes a reply; `undefined` if it is malformed. */
export function decodeOriginReply(params: unknown): OriginReply | undefined {
  const reply = params as Partial<OriginReply> | null;
  return typeof reply?.question === "number" &&
      (reply.version === undefined || isVersion(reply.version)) &&
      (reply.ageMs === undefined || Number.isFinite(reply.ageMs)) &&
      Array.isArray(reply.seen) && reply.seen.length <= MAX_SEEN &&
      reply.seen.every(isVersion)
    ? reply as OriginReply
    : undefined;
}
