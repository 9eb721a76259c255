/**
 * Requests that share a part of their prompts which crashes every upstream, beside sound ones with the same other parts.
 *
 * @module
 */

import { request } from "node:http";
import type { Random } from "../src/base/mod.ts";
import { ROUTE_HOST } from "../src/standins/mod.ts";
import { sleep } from "../test/cluster.ts";
import { DEADLINE_MS } from "./callers.ts";
import type { World } from "./world.ts";

const DEADLY_PREFIX = "deadly-";
/** Begins the bodies of these requests, so that they are told from those of the callers. */
const BODY_PREFIX = "parts ";
/** Parts are told apart by a number below this. */
const MAX_PART = 1_000_000;
const MEAN_DEADLY_GAP_MS = 350;
const MEAN_SOUND_GAP_MS = 100;
/** How long the sound requests come before the others, which shows how often they are served. */
const BEFORE_MS = 2_500;
/** Streams that run once, where each crash costs a caller its stream, and streams that may go on elsewhere. */
const KINDS = ["streamonce", "stream"] as const;

/** A request with shared parts, as its caller saw it. */
export interface PartCall {
  /** The part that crashes upstreams, which a sound request of the same series does not have. */
  readonly series: string;
  readonly isDeadly: boolean;
  readonly sentMs: number;
  readonly isServed: boolean;
}

/** Whether a part crashes every upstream that begins to run a request with it. */
export function isDeadlyPart(part: string): boolean {
  return part.startsWith(DEADLY_PREFIX);
}

/** Whether a request with this body is one of these. */
export function isPartRequest(body: string): boolean {
  return body.startsWith(BODY_PREFIX);
}

/** The part that a request with this body has and that crashes upstreams; `undefined` if it has none. */
export function deadlyPartOf(body: string): string | undefined {
  return body.split(" ").find(isDeadlyPart);
}

/** Sends one series of such requests to random VMs for `forMs`; waits for all answers. */
export async function sendPartRequests(
  world: World,
  random: Random,
  forMs: number,
): Promise<void> {
  const deadlyPart = `${DEADLY_PREFIX}${random.int(MAX_PART)}`;
  const kind = random.pick(KINDS);
  const place = random.int(3);
  const sent: Promise<void>[] = [];
  const send = async (isDeadly: boolean, endMs: number, gapMs: number) => {
    for (let at = 0; world.nowMs() < endMs; at++) {
      const parts = ["tools", `book${random.int(3)}`];
      if (isDeadly) parts.splice(place, 0, deadlyPart);
      sent.push(sendOnce(world, random, {
        kind,
        id: `${deadlyPart}-${isDeadly ? "d" : "s"}${at}`,
        series: deadlyPart,
        parts,
        isDeadly,
      }));
      await sleep(random.exponential(gapMs));
    }
  };
  const endMs = world.nowMs() + forMs;
  const sound = send(false, endMs, MEAN_SOUND_GAP_MS);
  await sleep(BEFORE_MS);
  await Promise.all([sound, send(true, endMs, MEAN_DEADLY_GAP_MS)]);
  await Promise.all(sent);
}

interface PartRequest {
  readonly kind: string;
  readonly id: string;
  readonly series: string;
  readonly parts: readonly string[];
  readonly isDeadly: boolean;
}

function sendOnce(
  world: World,
  random: Random,
  { kind, id, series, parts, isDeadly }: PartRequest,
): Promise<void> {
  const vm = random.pick(world.vms);
  const sentMs = world.nowMs();
  const body = `${BODY_PREFIX}${parts.join(" ")} ${id}`;
  return new Promise((resolve) => {
    let isServed = false;
    const call = request({
      host: vm.ip,
      port: vm.proxies.callers.port,
      path: `/${kind}/parts`,
      method: "POST",
      headers: {
        host: ROUTE_HOST,
        "attempt-id": id,
        "deadline-ms": String(DEADLINE_MS),
        "token-counts": "1300,40",
        "prompt-prefix": [...parts.map((part) => `${part}:400`), `${id}:50`]
          .join(),
      },
    });
    const timeoutTimer = setTimeout(() => call.destroy(), 2 * DEADLINE_MS);
    call.on("response", (answer) => {
      answer.on("error", () => {}).on("end", () => {
        isServed = answer.statusCode === 200 && answer.complete;
      }).resume();
    });
    call.on("error", () => {});
    call.on("close", () => {
      clearTimeout(timeoutTimer);
      world.partCalls.push({ series, isDeadly, sentMs, isServed });
      resolve();
    });
    call.end(body);
  });
}
