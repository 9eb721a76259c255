/**
 * Messages between VMs. The one implementation speaks `json-rpc-2.0` over persistent WebSockets by `ws`.
 *
 * @module
 */

import type { Result } from "neverthrow";

/** Why a call between VMs failed: `unreachable` was not sent, `lost` may have been handled, `failed` was answered so. */
export interface CallError {
  readonly kind: "unreachable" | "lost" | "failed";
  readonly message: string;
}

/** Who sent a message, as proved by the VMs' credential. */
export interface Sender {
  readonly vmId: string;
  readonly region: string;
}

/** Answers one method. What it throws reaches the caller as a `failed` {@link CallError}. */
export type Handler = (
  params: unknown,
  from: Sender,
) => unknown | Promise<unknown>;

/** This VM's end of the links to all others. */
export abstract class Transport {
  /** Registers the handler of `method`. */
  abstract handle(method: string, handler: Handler): void;
  /** Calls `method` at `address` (`host:port`) and waits for its answer until `deadlineMs` (wall clock). */
  abstract call(
    address: string,
    method: string,
    params: unknown,
    deadlineMs: number,
  ): Promise<Result<unknown, CallError>>;
  /** Sends without an answer; dropped silently when the link is down or its buffer is full. */
  abstract notify(address: string, method: string, params: unknown): void;
  /** Bytes sent and received so far, for the control budget. */
  abstract bytes(): { readonly sent: number; readonly received: number };
  abstract close(): Promise<void>;
}
