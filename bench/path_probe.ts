/**
 * Loaded into a measured process by `--import`: on SIGUSR2 it prints what the process used since the last time, as one
 * line `probe {...}`, so that every process is measured by the same instrument.
 *
 * @module
 */

import { monitorEventLoopDelay } from "node:perf_hooks";

const RESOLUTION_MS = 1;
const delay = monitorEventLoopDelay({ resolution: RESOLUTION_MS });
delay.enable();
let cpu = process.cpuUsage();
let number = 0;

process.on("SIGUSR2", () => {
  const used = process.cpuUsage(cpu);
  cpu = process.cpuUsage();
  const probe = {
    number: ++number,
    loopP99Ms: delay.percentile(99) / 1e6 - RESOLUTION_MS,
    loopMostMs: delay.max / 1e6 - RESOLUTION_MS,
    rssBytes: process.memoryUsage.rss(),
    cpuMs: (used.user + used.system) / 1000,
  };
  delay.reset();
  console.log(`probe ${JSON.stringify(probe)}`);
});
