/**
 * PlatformFaults that tests put into the platform's stand-in, and its rate limits.
 *
 * @module
 */

import { z } from "zod";

/** A fault as `POST /faults` takes it. All that match a call are combined. */
export const platformFaultSchema = z.strictObject({
  /** A regular expression on the VM's id; absent: all VMs. */
  vm: z.string().optional(),
  /** Only calls on keys that start with this; absent: all calls. */
  keyPrefix: z.string().optional(),
  /** `cut`: connections break before the call takes effect. `refuse`: the call is answered with 503. */
  outage: z.enum(["cut", "refuse"]).optional(),
  /** Delay before the call takes effect: a caller that gives up earlier may still see its write land. */
  slowMs: z.number().min(0).optional(),
  /** How many of the next writes take effect while their answers are lost. */
  loseAnswers: z.number().int().min(0).optional(),
});

/** A fault; see {@link platformFaultSchema}. */
export type PlatformFault = z.infer<typeof platformFaultSchema>;

/** What happens to one call. */
export interface CallFault {
  readonly outage?: "cut" | "refuse";
  readonly slowMs: number;
  readonly loseAnswer: boolean;
}

/** The faults in force. */
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
  /** Runs `listener` after each change; returns a function that ends this. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => void this.#listeners.delete(listener);
  }

  /** What happens to this call; a lost answer is counted off for writes. */
  take(vmId: string, key: string, isWrite: boolean): CallFault {
    const matching = this.#findMatching(vmId, key);
    const outage = matching.find((fault) => fault.outage)?.outage;
    const slowMs = Math.max(0, ...matching.map((fault) => fault.slowMs ?? 0));
    const answerLoss = isWrite && !outage &&
      matching.find((fault) => (fault.loseAnswers ?? 0) > 0);
    if (answerLoss) answerLoss.loseAnswers!--;
    return { outage, slowMs, loseAnswer: Boolean(answerLoss) };
  }

  /** Whether a VM is cut off from this key. */
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

/** Limits calls to a rate; allows a burst of one second. */
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

  /** Takes one call; `reservedPerS` is the part of the rate that waiting watches use up. */
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
