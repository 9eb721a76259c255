/**
 * A log that drops its lines, for tests that look at other things.
 *
 * @module
 */

import type { Log } from "../src/kernel/mod.ts";

/** Drops all lines. */
export const SILENT_LOG: Log = {
  debug() {},
  info() {},
  warn() {},
  error() {},
  log() {},
};
