/**
 * The target of a relayed request, on a listener that also answers calls between VMs.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { RPC_PATH } from "../replication/mod.ts";
import { RELAY_HEADERS } from "./reply.ts";

const RELAYED_ORIGIN = "http://relayed";

/**
 * Whether another VM relayed a request of a caller. Path, query, method, body and most headers are the caller's words;
 * this header is not, since those with its prefix are never taken from callers.
 */
export function isRelayed({ headers }: IncomingMessage): boolean {
  return headers[RELAY_HEADERS.waitMs] !== undefined;
}

/**
 * Encodes the target of a relayed request. VMs of earlier versions answer whatever names the path of the calls between
 * VMs; in absolute form that path is below no route's prefix, so that they refuse it as not run.
 */
export function encodeRelayTarget(target: string): string {
  return target === RPC_PATH ? RELAYED_ORIGIN + target : target;
}

/** Decodes what {@link encodeRelayTarget} returned. */
export function decodeRelayTarget(target: string): string {
  return target === RELAYED_ORIGIN + RPC_PATH ? RPC_PATH : target;
}
