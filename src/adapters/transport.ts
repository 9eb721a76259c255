/**
 * The interface for messages between VMs. Its only implementation sends `json-rpc-2.0` messages over persistent
 * WebSockets of the `ws` package.
 *
 * @module
 */

import type { Result } from "neverthrow";

/**
 * Why a call between VMs failed.
 * - `unreachable`: the call was not sent.
 * - `lost`: the call was sent without an answer, so it may have been handled.
 * - `failed`: the other VM answered with an error.
 */
export interface CallError {
  readonly kind: "unreachable" | "lost" | "failed";
  readonly message: string;
}

/** The sender of a message, authenticated by the credential that the VMs share. */
export interface Sender {
  readonly vmId: string;
  readonly region: string;
}

/** Handles the calls of one method. If the handler throws, the caller gets a `failed` {@link CallError}. */
export type Handler = (
  params: unknown,
  from: Sender,
) => unknown | Promise<unknown>;

/** Sends messages to other VMs and handles the messages that they send to this VM. */
export abstract class Transport {
  /** Registers the handler of `method`. */
  abstract handle(method: string, handler: Handler): void;
  /** Calls `method` at `address` (`host:port`) and waits for the answer until `deadlineMs` (wall clock). */
  abstract call(
    address: string,
    method: string,
    params: unknown,
    deadlineMs: number,
  ): Promise<Result<unknown, CallError>>;
  /** Sends a message that gets no answer. It is dropped without an error when the link is down or its buffer is full. */
  abstract notify(address: string, method: string, params: unknown): void;
  /** Returns the bytes sent and received so far, which count against the budget for control traffic. */
  abstract bytes(): { readonly sent: number; readonly received: number };
  abstract close(): Promise<void>;
}
