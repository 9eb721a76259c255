/**
 * Skews the wall clock of a gateway in a soak, which loads this module first: its time is wrong by up to 5 s and jumps
 * every 2 s. The monotonic clock stays right. The gateway also ends when the soak is gone.
 *
 * @module
 */

import { Random } from "../src/base/mod.ts";
import { endWithParent } from "./end_with_parent.ts";

const MAX_SKEW_MS = 5_000;
const JUMP_INTERVAL_MS = 2_000;

const random = new Random(Number(process.env.SOAK_CLOCK_SEED ?? 0));
const realNow = Date.now;

function drawSkew(): number {
  return Math.round((random.next() * 2 - 1) * MAX_SKEW_MS);
}

let skewMs = drawSkew();
Date.now = () => realNow() + skewMs;
setInterval(() => void (skewMs = drawSkew()), JUMP_INTERVAL_MS).unref();
endWithParent();
