/**
 * The micro-kernel: starts the daemon's tasks in order, finds them by name, and closes them in reverse order.
 *
 * @module
 */

import type { Clock } from "../base/mod.ts";
import type { Log } from "./log.ts";
import type { Messages, Task, TaskHost, TaskPort } from "./task.ts";

/** A {@link Task} with any messages. */
export type AnyTask = Pick<Task, "name" | "start" | "close" | "dump">;

/** Starts, finds and closes the daemon's tasks; see {@link Task}. */
export class Kernel implements TaskHost {
  readonly clock: Clock;
  readonly log: Log;
  readonly #tasks = new Map<string, AnyTask>();

  constructor(clock: Clock, log: Log) {
    this.clock = clock;
    this.log = log;
  }

  /** Starts a task. If that fails, the tasks started before stay open until {@link Kernel.close}. */
  async start(task: AnyTask): Promise<void> {
    if (this.#tasks.has(task.name)) {
      throw new Error(`service "${task.name}" is already started`);
    }
    this.#tasks.set(task.name, task);
    await task.start(this);
    this.log.info("service started", { service: task.name });
  }

  /** The port of a started task. Throws if there is none of this name. */
  get<M extends Messages>(name: string): TaskPort<M> {
    const task = this.#tasks.get(name);
    if (!task) throw new Error(`no service named "${name}"`);
    return task as unknown as TaskPort<M>;
  }

  /** Whether a task of this name was started. */
  has(name: string): boolean {
    return this.#tasks.has(name);
  }

  /** Every task's state by name. */
  dump(): Record<string, unknown> {
    const state: Record<string, unknown> = {};
    for (const [name, task] of this.#tasks) state[name] = task.dump();
    return state;
  }

  /** Closes all tasks in reverse order. Each one may use the time that is left until `deadlineMs`. */
  async close(deadlineMs: number): Promise<void> {
    for (const task of [...this.#tasks.values()].reverse()) {
      try {
        await task.close(deadlineMs);
      } catch (error) {
        this.log.error("service close failed", {
          service: task.name,
          error: String(error),
        });
      }
    }
    this.#tasks.clear();
  }
}
