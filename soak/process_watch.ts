/**
 * Tells the processes that a run ended from those that ended by themselves.
 *
 * @module
 */

import { sleep, type TestProcess } from "../test/cluster.ts";
import type { ProcessEnd } from "./judge_floods.ts";

const MAX_LAST_LINES = 40;
/** What a process printed last arrives within this time after its end. */
const LAST_OUTPUT_MS = 200;

/** Watches the processes of a run's VMs. */
export class ProcessWatch {
  /** The processes that ended by themselves. */
  readonly ends: ProcessEnd[] = [];
  /** Called when one does, with its last lines. */
  onEnd: (end: ProcessEnd) => void = () => {};
  readonly #signals = new WeakMap<TestProcess, Set<string>>();

  /** Sends a signal to a process. */
  signal(proc: TestProcess, signal: NodeJS.Signals): void {
    const sent = this.#signals.get(proc) ?? new Set();
    this.#signals.set(proc, sent.add(signal));
    proc.signal(signal);
  }

  /** Records how a VM's process ended, unless a signal of {@link signal} ended it. */
  async noteEnd(vm: number, proc: TestProcess, ranMs: number): Promise<void> {
    if (this.#wasEnded(proc)) return;
    const { exitCode, signalCode } = proc.child;
    const end: ProcessEnd = {
      vm,
      atMs: performance.now(),
      ranMs,
      how: signalCode ?? `code ${exitCode}`,
      lastLines: [],
    };
    this.ends.push(end);
    await sleep(LAST_OUTPUT_MS);
    end.lastLines = proc.output.trimEnd().split("\n").slice(-MAX_LAST_LINES);
    this.onEnd(end);
  }

  /** A process that has just started is ended by SIGTERM and SIGHUP before it can handle them. */
  #wasEnded(proc: TestProcess): boolean {
    const { exitCode, signalCode } = proc.child;
    const sent = this.#signals.get(proc);
    return signalCode === null
      ? exitCode === 0 && (sent?.has("SIGTERM") ?? false)
      : sent?.has(signalCode) ?? false;
  }
}
