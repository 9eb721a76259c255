/**
 * Orders to a stand-in engine: park, wake, load a model. Each carries a fencing number, which the engine checks or not.
 *
 * @module
 */

import { z } from "zod";

/** The header with the fencing number of an order. */
export const FENCING_HEADER = "x-fencing-token";

/** What an order asks for: the wanted end, so that repeating it is harmless. */
export const engineOrderSchema = z.union([
  z.strictObject({ want: z.enum(["active", "parked"]) }),
  z.strictObject({ load: z.string().min(1) }),
]);

/** An order as received. */
export interface OrderRecord {
  readonly order: z.infer<typeof engineOrderSchema>;
  readonly fence: number;
  readonly atMs: number;
  readonly accepted: boolean;
}

/** The engine's state as set by orders. */
export class Orders {
  readonly #checksFence: boolean;
  readonly #models: Set<string>;
  #state: "active" | "parked" = "active";
  #highestFence = 0;
  readonly log: OrderRecord[] = [];

  /** An active engine with this model; with `checksFence` it refuses orders with an old fencing number. */
  constructor(model: string, checksFence: boolean) {
    this.#models = new Set([model]);
    this.#checksFence = checksFence;
  }

  /** Whether it takes requests. */
  get isActive(): boolean {
    return this.#state === "active";
  }
  /** The models it has loaded. */
  get models(): readonly string[] {
    return [...this.#models];
  }

  /** Carries an order out; false if its fencing number is older than one seen before and the engine checks. */
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
