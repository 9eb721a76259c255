/**
 * Nested blocks for `ava`, which has none: the names of the blocks are put before a test's title.
 *
 * @module
 */

import { basename } from "node:path";
import test, { type ExecutionContext } from "ava";

const blockNames: string[] = [];

// Logs that are kept of a test's processes carry its file's name.
process.env.IBISGAP_TEST_FILE = basename(
  new URL(test.meta.file).pathname,
  ".js",
);

/** Opens a block; tests declared by {@link it} inside `body` carry its name. */
export function describe(name: string, body: () => void): void {
  blockNames.push(name);
  body();
  blockNames.pop();
}

/** Declares a test of the surrounding {@link describe} blocks. */
export function it(
  title: string,
  run: (t: ExecutionContext) => void | Promise<void>,
): void {
  test([...blockNames, title].join(" > "), run);
}

/** Like {@link it}, but run alone, after or before others of the file: for tests that share a process-wide resource. */
export function itAlone(
  title: string,
  run: (t: ExecutionContext) => void | Promise<void>,
): void {
  test.serial([...blockNames, title].join(" > "), run);
}
