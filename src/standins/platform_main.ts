/**
 * Runs the platform's stand-in as a process: `node dist/src/standins/platform_main.js --port N`.
 * It prints `listening URL` once it is ready.
 *
 * @module
 */

import { parseArgs } from "node:util";
import { openPlatform } from "./platform.ts";

const { values } = parseArgs({
  options: {
    port: { type: "string", default: "0" },
    "writes-per-s": { type: "string", default: "400" },
    "reads-per-s": { type: "string", default: "2000" },
    "list-lag-ms": { type: "string", default: "0" },
  },
});
const platform = await openPlatform({
  port: Number(values.port),
  writesPerS: Number(values["writes-per-s"]),
  readsPerS: Number(values["reads-per-s"]),
  listLagMs: Number(values["list-lag-ms"]),
});
console.log(`listening ${platform.url}`);
for (const signal of ["SIGTERM", "SIGINT"] as const) {
  process.once(signal, () => void platform.close().then(() => process.exit(0)));
}
