/**
 * Fatal requests: they crash every upstream that begins to run them, and their caller sends them repeatedly.
 *
 * @module
 */

import { request } from "node:http";
import type { Random } from "../src/base/mod.ts";
import { ROUTE_HOST } from "../src/standins/mod.ts";
import { sleep } from "../test/cluster.ts";
import type { RequestKind } from "./attempts.ts";
import { DEADLINE_MS } from "./callers.ts";
import type { World } from "./world.ts";

const FATAL_PREFIX = "fatal ";
const MEAN_GAP_MS = 250;
const KINDS: readonly RequestKind[] = ["safe", "once", "stream", "streamonce"];

/** Whether a request with this body is fatal. */
export function isFatal(body: string): boolean {
  return body.startsWith(FATAL_PREFIX);
}

/** Sends one fatal request repeatedly for `forMs`, each time as a new attempt and to a random VM; waits for all answers. */
export async function sendFatalRequests(
  world: World,
  random: Random,
  forMs: number,
): Promise<void> {
  const body = `${FATAL_PREFIX}${random.next()}`;
  const kind = random.pick(KINDS);
  const endMs = world.nowMs() + forMs;
  const sent: Promise<void>[] = [];
  for (let index = 0; world.nowMs() < endMs; index++) {
    sent.push(sendOnce(world, random, kind, `${body}-${index}`, body));
    await sleep(random.exponential(MEAN_GAP_MS));
  }
  await Promise.all(sent);
}

function sendOnce(
  world: World,
  random: Random,
  kind: RequestKind,
  attemptId: string,
  body: string,
): Promise<void> {
  const vm = random.pick(world.vms);
  return new Promise((resolve) => {
    const call = request({
      host: vm.ip,
      port: vm.proxies.callers.port,
      path: `/${kind}/fatal`,
      method: "POST",
      headers: {
        host: ROUTE_HOST,
        "attempt-id": attemptId.replace(" ", "-"),
        "deadline-ms": String(DEADLINE_MS),
      },
    });
    const timeoutTimer = setTimeout(() => call.destroy(), 2 * DEADLINE_MS);
    call.on("response", (answer) => answer.on("error", () => {}).resume());
    call.on("error", () => {});
    call.on("close", () => {
      clearTimeout(timeoutTimer);
      resolve();
    });
    call.end(body);
  });
}
