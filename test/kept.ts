/**
 * Keeps what processes and VMs of a test log, for the case that it fails: a reason that was not kept can't be traced.
 *
 * @module
 */

import { createWriteStream, type WriteStream } from "node:fs";
import { join } from "node:path";

/** Folder of kept logs; nothing is kept if it is not set. */
const LOG_FOLDER = process.env.IBISGAP_TEST_LOGS;
/** The test file, as `describe` sets it. */
const TEST_FILE_VARIABLE = "IBISGAP_TEST_FILE";

let fileCount = 0;

/** Opens a kept log; `name` tells it from others of the same test file. */
export function openLogFile(name: string): (text: string) => void {
  if (!LOG_FOLDER) return () => {};
  const file = process.env[TEST_FILE_VARIABLE] ?? "other";
  const path = join(
    LOG_FOLDER,
    `${file}.${process.pid}.${fileCount++}.${name}.log`,
  );
  let stream: WriteStream | undefined;
  return (text) => {
    stream ??= createWriteStream(path, { flags: "a" });
    stream.write(text);
  };
}
