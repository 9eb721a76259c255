/**
 * A task owns its sockets, timers and state. Others reach it only by asking one of its typed messages.
 *
 * @module
 */

import type { Clock } from "../base/mod.ts";
import type { Log } from "./log.ts";

/** The messages of a task: the name of each, what goes in and what comes out. */
export type Messages = Record<string, { in: unknown; out: unknown }>;

/** How a task answers its messages. */
export type Handlers<M extends Messages> = {
  readonly [K in keyof M]: (
    input: M[K]["in"],
  ) => M[K]["out"] | Promise<M[K]["out"]>;
};

/** What others hold of a task; see {@link TaskHost.get}. */
export interface TaskPort<M extends Messages> {
  /** Sends one message and resolves with its answer. */
  ask<K extends keyof M>(type: K, input: M[K]["in"]): Promise<M[K]["out"]>;
}

/** What a task finds around it when it starts: the kernel. */
export interface TaskHost {
  readonly clock: Clock;
  readonly log: Log;
  /** The port of a service that was started earlier. Throws if there is none of this name. */
  get<M extends Messages>(name: string): TaskPort<M>;
  /** Whether a service of this name was started. */
  has(name: string): boolean;
  /** Every service's state by name. */
  dump(): Record<string, unknown>;
}

/** A service of the daemon. The kernel starts services in order and closes them in reverse. */
export abstract class Task<M extends Messages = Messages>
  implements TaskPort<M> {
  /** The name others find it by. */
  abstract readonly name: string;
  protected abstract readonly handlers: Handlers<M>;

  /** Opens sockets and timers. Services started earlier can be found through `kernel`. */
  abstract start(kernel: TaskHost): Promise<void>;

  /** Stops taking work, finishes what it holds until `deadlineMs` (wall clock), then frees everything. */
  abstract close(deadlineMs: number): Promise<void>;

  /** The task's state for `ibisgap dump`; never holds a secret. */
  abstract dump(): unknown;

  async ask<K extends keyof M>(
    type: K,
    input: M[K]["in"],
  ): Promise<M[K]["out"]> {
    return await this.handlers[type](input);
  }
}
