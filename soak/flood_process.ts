/**
 * Floods of a run, in a process of their own: what they cost the processor isn't taken from those whose answers are
 * judged.
 *
 * @module
 */

import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import { parentVariables } from "./end_with_parent.ts";
import type {
  FloodNotice,
  FloodOrder,
  FloodReport,
  FloodUpstreamPlace,
} from "./flood_messages.ts";

const SCRIPT = fileURLToPath(new URL("./flood_main.js", import.meta.url));

/** The process that floods. */
export class FloodProcess {
  /** What the floods that are over did. */
  readonly reports: FloodReport[] = [];
  readonly #child: ChildProcess;
  readonly #waiting = new Map<string, () => void>();
  #isClosing = false;

  private constructor(child: ChildProcess) {
    this.#child = child;
    child.on("message", (notice: FloodNotice) => this.#note(notice));
    child.on("exit", (code, signal) => {
      if (this.#isClosing) return;
      throw new Error(`the process of floods ended with ${signal ?? code}`);
    });
  }

  /** Starts the process and waits until its upstreams listen. */
  static async open(
    upstreams: readonly FloodUpstreamPlace[],
  ): Promise<FloodProcess> {
    const child = fork(SCRIPT, [JSON.stringify(upstreams)], {
      execArgv: [],
      env: { ...process.env, ...parentVariables() },
    });
    const floods = new FloodProcess(child);
    await once(child, "message");
    return floods;
  }

  /** Plays a flood; returns when it is over. */
  async play(order: FloodOrder): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#waiting.set(order.name, resolve);
      this.#child.send(order);
    });
  }

  async close(): Promise<void> {
    this.#isClosing = true;
    if (this.#child.exitCode !== null) return;
    const ended = once(this.#child, "exit");
    this.#child.kill("SIGKILL");
    await ended;
  }

  #note(notice: FloodNotice): void {
    if (notice === "listening") return;
    this.reports.push(notice);
    this.#waiting.get(notice.name)?.();
    this.#waiting.delete(notice.name);
  }
}
