/**
 * Loaded before a gateway in a soak: its time of day is wrong by seconds, and jumps. The monotonic clock stays right.
 *
 * @module
 */

import { Random } from "../src/base/mod.ts";

const MOST_SKEW_MS = 5_000;
const JUMP_EVERY_MS = 2_000;

const random = new Random(Number(process.env.SOAK_CLOCK_SEED ?? 0));
const realNow = Date.now;

function draw(): number {
  return Math.round((random.next() * 2 - 1) * MOST_SKEW_MS);
}

let skewMs = draw();
Date.now = () => realNow() + skewMs;
setInterval(() => void (skewMs = draw()), JUMP_EVERY_MS).unref();
