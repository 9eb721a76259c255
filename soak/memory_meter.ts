/**
 * Samples the memory of the VMs' processes.
 *
 * @module
 */

import { readPeakMb } from "../test/deployed.ts";
import type { MemoryPeak } from "./judge_floods.ts";

const SAMPLE_MS = 50;

/** Keeps the most memory that each process used. */
export class MemoryMeter {
  readonly #peaks = new Map<number, MemoryPeak>();
  readonly #findProcesses: () => readonly { vm: number; pid: number }[];
  readonly #timer = setInterval(() => this.#sample(), SAMPLE_MS);

  /** `findProcesses` returns the processes that run now. */
  constructor(findProcesses: () => readonly { vm: number; pid: number }[]) {
    this.#findProcesses = findProcesses;
  }

  /** One peak for each process that has run. */
  get peaks(): readonly MemoryPeak[] {
    return [...this.#peaks.values()];
  }

  close(): void {
    clearInterval(this.#timer);
  }

  #sample(): void {
    for (const { vm, pid } of this.#findProcesses()) {
      const peakMb = readPeakMb(pid);
      const before = this.#peaks.get(pid)?.peakMb ?? 0;
      this.#peaks.set(pid, { vm, peakMb: Math.max(before, peakMb) });
    }
  }
}
