/**
 * Orders to a stand-in engine: park, activate, load a model. Each carries a fencing number, which the engine may check.
 *
 * @module
 */

import { z } from "zod";

/** The header with the fencing number of an order. */
export const FENCING_HEADER = "x-fencing-token";

/** The body of an order. It names the desired state, so that a repeated order is harmless. */
export const engineOrderSchema = z.union([
  z.strictObject({ want: z.enum(["active", "parked"]) }),
  z.strictObject({ load: z.string().min(1) }),
]);

/** A received order and whether it was accepted. */
export interface OrderRecord {
  readonly order: z.infer<typeof engineOrderSchema>;
  readonly fence: number;
  readonly atMs: number;
  readonly accepted: boolean;
}

/** The state of an engine that orders change. */
export class Orders {
  readonly #checksFence: boolean;
  readonly #models: Set<string>;
  #state: "active" | "parked" = "active";
  #highestFence = 0;
  readonly log: OrderRecord[] = [];

  /** Starts active, with `model` loaded; with `checksFence`, orders with a stale fencing number are refused. */
  constructor(model: string, checksFence: boolean) {
    this.#models = new Set([model]);
    this.#checksFence = checksFence;
  }

  /** Whether the engine takes requests. */
  get isActive(): boolean {
    return this.#state === "active";
  }
  /** The loaded models. */
  get models(): readonly string[] {
    return [...this.#models];
  }

  /** Applies an order; returns false if the engine checks fencing numbers and has seen a newer one. */
  apply(order: z.infer<typeof engineOrderSchema>, fence: number): boolean {
    const accepted = !this.#checksFence || fence >= this.#highestFence;
    this.log.push({ order, fence, atMs: Date.now(), accepted });
    if (!accepted) return false;
    this.#highestFence = Math.max(this.#highestFence, fence);
    if ("want" in order) this.#state = order.want;
    else this.#models.add(order.load);
    return true;
  }
}
