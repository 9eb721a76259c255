/**
 * Heartbeats: what one VM tells the others of itself.
 *
 * @module
 */

import type { HeldPart } from "../routing/mod.ts";
import type { Revisions } from "./beliefs.ts";
import type { Room } from "./room.ts";

/** Who a VM is. */
export interface VmRecord {
  readonly id: string;
  readonly ip: string;
  readonly region: string;
  readonly failureDomain: string;
  /** Start of its process, Unix ms: tells one start from the next. */
  readonly bornMs: number;
}

/**
 * What one VM has under way at one upstream: requests running, and prompt tokens that wait there. A pair and no record,
 * since a heartbeat carries one for each upstream that the VM uses.
 */
export type UpstreamLoad = readonly [running: number, waitingTokens: number];

/** What a VM tells the others with each heartbeat. */
export interface Beat extends VmRecord {
  /** The sender's time from one heartbeat to the next, in ms; silence is judged by it. */
  readonly everyMs: number;
  readonly ready: boolean;
  readonly leaving: boolean;
  /** While leaving: how long it still serves, in ms from the heartbeat on. */
  readonly servesMs?: number;
  readonly configVersion: number;
  readonly revisions: Revisions;
  /** Whether the store answers the sender's questions about upstreams. */
  readonly isServed: boolean;
  /** Load by upstream key; only to VMs of the same region. */
  readonly load?: Readonly<Record<string, UpstreamLoad>>;
  /** Shared parts of prompts that engines read for the sender lately. */
  readonly held?: readonly HeldPart[];
  /** Free places by service in the sender's region; only to other regions. */
  readonly room?: Room;
  /** Some VMs that the sender sees. */
  readonly others?: readonly VmRecord[];
}

/** Whether a value that came from outside says who a VM is. */
export function isVmRecord(value: unknown): value is VmRecord {
  const vm = value as Partial<VmRecord> | null;
  return typeof vm?.id === "string" && typeof vm.ip === "string" &&
    typeof vm.region === "string" &&
    typeof vm.failureDomain === "string" && typeof vm.bornMs === "number";
}

/** Reads a datagram; `undefined` if it is no heartbeat. */
export function decodeBeat(datagram: Buffer): Beat | undefined {
  try {
    const { method, params } = JSON.parse(datagram.toString("utf8")) as {
      method?: string;
      params?: unknown;
    };
    if (method !== "beat" || !isVmRecord(params)) return undefined;
    const beat = params as Beat;
    return typeof beat.revisions?.operators === "number" &&
        typeof beat.everyMs === "number"
      ? beat
      : undefined;
  } catch {
    return undefined;
  }
}
