/**
 * A task owns its sockets, timers and state. Other tasks access it only by its typed messages.
 *
 * @module
 */

import type { Clock } from "../base/mod.ts";
import type { Log } from "./log.ts";

/** The messages of a task: the name of each with the types of its input and its answer. */
export type Messages = Record<string, { in: unknown; out: unknown }>;

/** The functions of a task that answer its messages. */
export type Handlers<M extends Messages> = {
  readonly [K in keyof M]: (
    input: M[K]["in"],
  ) => M[K]["out"] | Promise<M[K]["out"]>;
};

/** The interface by which others send messages to a task; see {@link TaskHost.get}. */
export interface TaskPort<M extends Messages> {
  /** Sends one message and resolves with its answer. */
  ask<K extends keyof M>(type: K, input: M[K]["in"]): Promise<M[K]["out"]>;
}

/** The environment that a task gets when it starts, implemented by the kernel. */
export interface TaskHost {
  readonly clock: Clock;
  readonly log: Log;
  /** The port of a task that was started earlier. Throws if there is none of this name. */
  get<M extends Messages>(name: string): TaskPort<M>;
  /** Whether a task of this name was started. */
  has(name: string): boolean;
  /** Every task's state by name. */
  dump(): Record<string, unknown>;
}

/** A task: one of the daemon's services. The kernel starts tasks in order and closes them in reverse order. */
export abstract class Task<M extends Messages = Messages>
  implements TaskPort<M> {
  /** The name by which others find it. */
  abstract readonly name: string;
  protected abstract readonly handlers: Handlers<M>;

  /** Opens sockets and timers. Tasks started earlier can be found through `kernel`. */
  abstract start(kernel: TaskHost): Promise<void>;

  /** Accepts no more work, finishes open work until `deadlineMs` (wall clock), then releases all resources. */
  abstract close(deadlineMs: number): Promise<void>;

  /** The task's state for `ibisgap dump`; it never contains a secret. */
  abstract dump(): unknown;

  async ask<K extends keyof M>(
    type: K,
    input: M[K]["in"],
  ): Promise<M[K]["out"]> {
    return await this.handlers[type](input);
  }
}
