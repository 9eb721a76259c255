/**
 * Nested `describe` blocks, which `ava` lacks: a test's title is prefixed with the names of its blocks.
 *
 * @module
 */

import { basename } from "node:path";
import test, { type ExecutionContext } from "ava";

const blockNames: string[] = [];

// The logs of the processes that a test starts are named after the test's file.
process.env.IBISGAP_TEST_FILE = basename(
  new URL(test.meta.file).pathname,
  ".js",
);

/** Opens a block. Tests that `body` declares by {@link it} carry its name. */
export function describe(name: string, body: () => void): void {
  blockNames.push(name);
  body();
  blockNames.pop();
}

/** Declares a test in the surrounding {@link describe} blocks. */
export function it(
  title: string,
  run: (t: ExecutionContext) => void | Promise<void>,
): void {
  test([...blockNames, title].join(" > "), run);
}

/** Like {@link it}, but never concurrently with other tests of the file, for tests that share a process-wide resource. */
export function itAlone(
  title: string,
  run: (t: ExecutionContext) => void | Promise<void>,
): void {
  test.serial([...blockNames, title].join(" > "), run);
}
