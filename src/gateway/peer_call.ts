/**
 * One HTTP call from this VM to another one: posts a text and reads the answer.
 *
 * @module
 */

import { type Agent, request } from "node:http";
import { readText } from "../adapters/mod.ts";
import type { Clock } from "../base/mod.ts";

/** Timeout of a call; the next one may go to another VM. */
const ANSWER_TIMEOUT_MS = 1_000;

/** A call to another VM. */
export interface PeerCallOptions {
  readonly agent: Agent | undefined;
  readonly host: string;
  readonly port: number;
  readonly path: string;
  /** JSON text. */
  readonly payload: string;
  readonly clock: Clock;
}

/** How far a call came. */
export interface PeerCallProgress {
  /** Bytes of the answer's body that arrived. */
  bytes: number;
  /** Time since the call began. */
  tookMs: number;
}

/** Posts a text. `progress` is kept current, so that it also tells how far a call came that fails. */
export function callPeer(
  { agent, host, port, path, payload, clock }: PeerCallOptions,
  progress: PeerCallProgress,
): Promise<string> {
  const startedMs = clock.monoMs();
  return new Promise((resolve, reject) => {
    const call = request({
      agent,
      host,
      port,
      path,
      method: "POST",
      headers: {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(payload),
      },
    });
    const timer = clock.after(
      ANSWER_TIMEOUT_MS,
      () => call.destroy(new Error("no answer in time")),
    );
    const settle = (run: () => void) => {
      timer.close();
      progress.tookMs = Math.round(clock.monoMs() - startedMs);
      run();
    };
    call.on("response", (answer) => {
      readText(answer, (bytes) => progress.bytes += bytes).then(
        (text) => settle(() => resolve(text)),
        (error) => settle(() => reject(error)),
      );
    });
    call.on("error", (error) => settle(() => reject(error)));
    call.end(payload);
  });
}
