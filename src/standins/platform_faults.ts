/**
 * Faults that tests inject into the platform's stand-ins, and their rate limits.
 *
 * @module
 */

import { z } from "zod";

/** A fault as `POST /faults` takes it. All faults that match a call apply together. */
export const platformFaultSchema = z.strictObject({
  /** A regular expression that matches the VM's id; absent: all VMs. */
  vm: z.string().optional(),
  /** Prefix of the keys whose calls are affected; absent: all calls. */
  keyPrefix: z.string().optional(),
  /** `cut`: connections break before the call takes effect. `refuse`: the call is answered with 503. */
  outage: z.enum(["cut", "refuse"]).optional(),
  /** Delay before the call takes effect: the write of a caller that times out earlier may still take effect. */
  slowMs: z.number().min(0).optional(),
  /** Number of the next writes that take effect but whose answers are lost. */
  loseAnswers: z.number().int().min(0).optional(),
});

/** A fault; see {@link platformFaultSchema}. */
export type PlatformFault = z.infer<typeof platformFaultSchema>;

/** The combined faults of one call. */
export interface CallFault {
  readonly outage?: "cut" | "refuse";
  readonly slowMs: number;
  readonly loseAnswer: boolean;
}

/** The faults in force at a platform stand-in. */
export class PlatformFaults {
  #faults: PlatformFault[] = [];
  readonly #listeners = new Set<() => void>();

  /** Replaces all faults. */
  set(faults: readonly PlatformFault[]): void {
    this.#faults = faults.map((fault) => ({ ...fault }));
    for (const listener of this.#listeners) listener();
  }
  clear(): void {
    this.set([]);
  }
  /** Calls `listener` after each change; returns a function that removes it. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => void this.#listeners.delete(listener);
  }

  /** Returns the faults of a call; a write whose answer is lost counts against `loseAnswers`. */
  take(vmId: string, key: string, isWrite: boolean): CallFault {
    const matching = this.#findMatching(vmId, key);
    const outage = matching.find((fault) => fault.outage)?.outage;
    const slowMs = Math.max(0, ...matching.map((fault) => fault.slowMs ?? 0));
    const answerLoss = isWrite && !outage &&
      matching.find((fault) => (fault.loseAnswers ?? 0) > 0);
    if (answerLoss) answerLoss.loseAnswers!--;
    return { outage, slowMs, loseAnswer: Boolean(answerLoss) };
  }

  /** Whether an outage keeps a VM from this key. */
  isCutOff(vmId: string, key: string): boolean {
    return this.#findMatching(vmId, key).some((fault) => fault.outage);
  }

  #findMatching(vmId: string, key: string): PlatformFault[] {
    return this.#faults.filter((fault) =>
      (!fault.vm || new RegExp(fault.vm).test(vmId)) &&
      (!fault.keyPrefix || key.startsWith(fault.keyPrefix))
    );
  }
}

/** A token bucket that limits calls to a rate, with a burst of one second. */
export class RateLimit {
  readonly #perS: number;
  readonly #nowMs: () => number;
  #tokens: number;
  #refilledAtMs: number;

  constructor(perS: number, nowMs: () => number) {
    this.#perS = perS;
    this.#nowMs = nowMs;
    this.#tokens = perS;
    this.#refilledAtMs = nowMs();
  }

  /** Takes one call's token, if there is one; `reservedPerS` is the part of the rate that open watches use. */
  tryTake(reservedPerS = 0): boolean {
    const perS = Math.max(0, this.#perS - reservedPerS);
    const nowMs = this.#nowMs();
    this.#tokens += ((nowMs - this.#refilledAtMs) * perS) / 1000;
    this.#tokens = Math.min(this.#tokens, perS);
    this.#refilledAtMs = nowMs;
    if (this.#tokens < 1) return false;
    this.#tokens--;
    return true;
  }
}
