/**
 * The program of the gateway's daemon on the users' platform: one process on every VM.
 *
 * @module
 */

import { noteSignals } from "./signals.ts";

noteSignals();
// Loading the rest takes longer than all else at the start.
const { runDaemon } = await import("./daemon.ts");
await runDaemon();
