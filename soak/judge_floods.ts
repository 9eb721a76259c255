/**
 * Checks that no VM's process ends by itself or uses more memory than its VM has.
 *
 * @module
 */

import type { Breach, Evidence } from "./judge.ts";

/** A process that ended though nobody ended it. */
export interface ProcessEnd {
  readonly vm: number;
  readonly atMs: number;
  /** How long it had run. */
  readonly ranMs: number;
  /** The signal or the exit code. */
  readonly how: string;
  /** The last lines that it printed. */
  lastLines: readonly string[];
}

/** The most memory that a process used. */
export interface MemoryPeak {
  readonly vm: number;
  readonly peakMb: number;
}

/** What this judge needs of the {@link Evidence} of a run. */
export type FloodEvidence = Pick<
  Evidence,
  "processEnds" | "memoryPeaks" | "memoryLimitMb"
>;

/** The line that tells why a process ended, if there is one. */
const REASON = /FATAL ERROR|"process ends"|Error:/;

/** Finds processes that ended by themselves, and those that used too much memory; nothing excuses either. */
export function findFloodBreaches(evidence: FloodEvidence): Breach[] {
  const ends = evidence.processEnds.map((end): Breach => ({
    rule: "FAULT",
    attempt: "",
    what: describeEnd(end),
  }));
  const peaks = evidence.memoryPeaks
    .filter(({ peakMb }) => peakMb > evidence.memoryLimitMb)
    .map(({ vm, peakMb }): Breach => ({
      rule: "MEMORY",
      attempt: "",
      what: `vm ${vm} used ${Math.round(peakMb)} MB` +
        ` of ${evidence.memoryLimitMb}`,
    }));
  return [...ends, ...peaks];
}

/** Says which process ended, and how. */
export function describeEnd({ vm, how, ranMs, lastLines }: ProcessEnd): string {
  const reason = lastLines.findLast((line) => REASON.test(line)) ??
    lastLines.at(-1) ?? "nothing printed";
  return `vm ${vm} ended by itself with ${how}` +
    ` after ${Math.round(ranMs)} ms: ${reason.slice(0, 200)}`;
}
