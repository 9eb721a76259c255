/**
 * One HTTP call from this VM to another one: posts a text and parses the answer.
 *
 * @module
 */

import { request } from "node:http";
import { joinAnswer, readParsed } from "../adapters/mod.ts";
import { type Clock, ProgressTimer } from "../base/mod.ts";

/** A VM that sends nothing for this long is given up; the next call may go to another one. */
const MAX_IDLE_MS = 1_000;
/** Longest call: a VM that has not sent a configuration by then has a link that is worse than those of others. */
const MAX_CALL_MS = 10_000;

/** A call to another VM. */
export interface PeerCallOptions {
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

/** Posts a text and parses the answer, which is JSON. `progress` is kept current, so that it also tells how far a call came that fails. */
export function callPeer(
  { host, port, path, payload, clock }: PeerCallOptions,
  progress: PeerCallProgress,
): Promise<unknown> {
  const startedMs = clock.monoMs();
  progress.bytes = 0;
  return new Promise((resolve, reject) => {
    const call = request({
      // A kept connection may have gone silent, and each one that has would cost as long as a VM may send nothing.
      agent: false,
      host,
      port,
      path,
      method: "POST",
      headers: {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(payload),
      },
    });
    const timer = new ProgressTimer({
      clock,
      mostIdleMs: MAX_IDLE_MS,
      mostMs: MAX_CALL_MS,
      onStuck: () => call.destroy(new Error("no answer in time")),
    });
    const settle = (run: () => void) => {
      timer.close();
      progress.tookMs = Math.round(clock.monoMs() - startedMs);
      run();
    };
    call.on("response", (answer) => {
      joinAnswer(answer);
      timer.noteProgress();
      const onBytes = (bytes: number) => {
        timer.noteProgress();
        progress.bytes += bytes;
      };
      readParsed(answer, JSON.parse, { onBytes }).then(
        (value) => settle(() => resolve(value)),
        (error) => settle(() => reject(error)),
      );
    });
    call.on("error", (error) => settle(() => reject(error)));
    call.end(payload);
  });
}
