/**
 * One HTTP call to the platform's store.
 *
 * @module
 */

import { type Agent, request } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { joinAnswer, readParsed, type StoreError } from "../adapters/mod.ts";
import { isNotSent } from "../adapters/not_sent.ts";
import { ProgressTimer, systemClock } from "../base/mod.ts";
import { decodeGeneration } from "./store_wire.ts";

/**
 * A call counts as lost after this time without an answer, or without more of it. The store usually answers in 4 ms; the
 * timeout allows for sixty times that, with a margin of a factor of eight.
 */
const MAX_IDLE_MS = 2_000;
/** Longest call: the largest values take a second over an idle slow link. */
const MAX_CALL_MS = 10_000;

/** HTTP methods of the store. */
export type StoreMethod = "GET" | "POST" | "DELETE";

/** An answer of the store. */
export interface StoreResponse {
  readonly status: number;
  /** `undefined` if there is none, as in an answer without a length whose connection broke early. */
  readonly body: unknown;
  /** `undefined` if the answer names none. */
  readonly generation: number | undefined;
}

/** A call to the store. */
export interface StoreCallOptions {
  readonly agent: Agent;
  readonly host: string;
  readonly port: number;
  readonly method: StoreMethod;
  readonly path: string;
  /** Sent as JSON; `undefined` if there is none. */
  readonly body: unknown;
  /** How much longer than usual the store may take, as it waits for changes. */
  readonly extraWaitMs: number;
  /** Called with the generation that an answer names, as soon as its head is there. */
  readonly onGeneration: (generation: number) => void;
}

/** Makes an error of the store. */
export function storeError(
  kind: "unavailable" | "lost" | "limited" | "leaseGone",
  message: string,
): StoreError {
  return { kind, message };
}

/** Calls the store. The result is an error if no whole answer came. */
export function callStore(
  { body, extraWaitMs, onGeneration, ...target }: StoreCallOptions,
): Promise<Result<StoreResponse, StoreError>> {
  const payload = body === undefined ? undefined : JSON.stringify(body);
  return new Promise((resolve) => {
    const call = request({
      ...target,
      headers: payload === undefined ? {} : {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(payload),
      },
    });
    // A connection may stay silent forever; only this timer detects that.
    const timer = new ProgressTimer({
      clock: systemClock,
      mostIdleMs: MAX_IDLE_MS + extraWaitMs,
      mostMs: MAX_CALL_MS + extraWaitMs,
      onStuck: () => call.destroy(new Error("no answer in time")),
    });
    const fail = (error: unknown) => {
      timer.close();
      const kind = isNotSent(error) ? "unavailable" : "lost";
      resolve(err(storeError(kind, String(error))));
    };
    call.on("error", fail);
    call.on("response", (answer) => {
      joinAnswer(answer);
      const generation = decodeGeneration(answer);
      if (generation !== undefined) onGeneration(generation);
      const onBytes = () => timer.noteProgress();
      readParsed(answer, parseBody, { onBytes }).then((body) => {
        timer.close();
        resolve(ok({ status: answer.statusCode ?? 0, generation, body }));
      }).catch(fail);
    });
    call.end(payload);
  });
}

function parseBody(text: string): unknown {
  return text === "" ? undefined : JSON.parse(text);
}
