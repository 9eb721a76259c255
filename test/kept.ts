/**
 * Writes the logs of a test's processes and VMs to files, so that the cause of a failure can be traced afterwards.
 *
 * @module
 */

import { createWriteStream, type WriteStream } from "node:fs";
import { join } from "node:path";

/** Folder of the log files. Without it nothing is written. */
const LOG_FOLDER = process.env.IBISGAP_TEST_LOGS;
/** Environment variable with the test file's name, which `src/base/describe.ts` sets. */
const TEST_FILE_VARIABLE = "IBISGAP_TEST_FILE";

let fileCount = 0;

/** Returns a function that appends to a log file. `name` distinguishes it from others of the same test file. */
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
