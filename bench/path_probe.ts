/**
 * Loaded into a measured process by `--import`, so that every process is measured by the same code. On SIGUSR2 it
 * prints what the process used since the last signal, as one line `probe {...}`. With `PATH_PROFILE=DIR` it also writes
 * a processor profile of the time between the second and the third signal.
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { Session } from "node:inspector";
import { monitorEventLoopDelay } from "node:perf_hooks";

const RESOLUTION_MS = 1;
const loopDelay = monitorEventLoopDelay({ resolution: RESOLUTION_MS });
loopDelay.enable();
let lastCpu = process.cpuUsage();
let signalCount = 0;

const profileDir = process.env.PATH_PROFILE;
const session = new Session();
if (profileDir) session.connect();

function toggleProfile(): void {
  if (signalCount === 2) {
    session.post("Profiler.enable");
    session.post("Profiler.start");
  }
  if (signalCount !== 3) return;
  session.post("Profiler.stop", (_error, { profile }) => {
    const path = `${profileDir}/${process.pid}.cpuprofile`;
    writeFileSync(path, JSON.stringify(profile));
  });
}

process.on("SIGUSR2", () => {
  const used = process.cpuUsage(lastCpu);
  lastCpu = process.cpuUsage();
  const probe = {
    number: ++signalCount,
    loopP99Ms: loopDelay.percentile(99) / 1e6 - RESOLUTION_MS,
    loopMostMs: loopDelay.max / 1e6 - RESOLUTION_MS,
    rssBytes: process.memoryUsage.rss(),
    cpuMs: (used.user + used.system) / 1000,
  };
  loopDelay.reset();
  if (profileDir) toggleProfile();
  console.log(`probe ${JSON.stringify(probe)}`);
});
