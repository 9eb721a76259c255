/**
 * Faults that can be injected into a stand-in upstream, by code or by `POST /faults`.
 *
 * @module
 */

import { z } from "zod";

/** Number of requests that the fault applies to; absent: all until it is cleared. */
const times = z.number().int().min(1).optional();
const ms = z.number().min(0).max(3_600_000);
const tokens = z.number().int().min(0);

/** Faults of a stand-in engine; docs/TRACE.md describes each. */
export const engineFaultSchema = z.discriminatedUnion("type", [
  z.strictObject({ type: z.literal("cut"), afterTokens: tokens, times }),
  z.strictObject({ type: z.literal("truncate"), afterTokens: tokens, times }),
  z.strictObject({ type: z.literal("delay"), delayMs: ms, times }),
  z.strictObject({
    type: z.literal("stall"),
    afterTokens: tokens,
    stallMs: ms,
    times,
  }),
  z.strictObject({ type: z.literal("refuse"), times }),
  z.strictObject({
    type: z.literal("crossed"),
    afterTokens: tokens.default(0),
    times,
  }),
  z.strictObject({ type: z.literal("duplicate"), times }),
  z.strictObject({ type: z.literal("late"), delayMs: ms, times }),
  z.strictObject({ type: z.literal("slow"), factor: z.number().min(1) }),
  z.strictObject({ type: z.literal("dead") }),
  z.strictObject({
    type: z.literal("lyingLoad"),
    running: z.number().int().min(0),
    waiting: z.number().int().min(0),
  }),
]);

/** Faults of a stand-in plain service. */
export const plainFaultSchema = z.discriminatedUnion("type", [
  z.strictObject({ type: z.literal("cutAfterRun"), times }),
  z.strictObject({ type: z.literal("cutBeforeRun"), times }),
  z.strictObject({ type: z.literal("failAfterRun"), times }),
  z.strictObject({ type: z.literal("delay"), delayMs: ms, times }),
  z.strictObject({ type: z.literal("refuse"), times }),
  z.strictObject({ type: z.literal("slow"), factor: z.number().min(1) }),
  z.strictObject({ type: z.literal("dead") }),
]);

/** One fault of a stand-in engine. */
export type EngineFault = z.input<typeof engineFaultSchema>;
/** One fault of a stand-in plain service. */
export type PlainFault = z.input<typeof plainFaultSchema>;

interface ActiveFault<F> {
  readonly fault: F;
  requestsLeft: number;
}

/** The faults in force. A fault with `times` ends after that many requests. */
export class Faults<F extends { readonly type: string; times?: number }> {
  readonly #parse: (input: unknown) => F;
  readonly #onChange: () => void;
  #active: ActiveFault<F>[] = [];

  /** `parse` validates a fault; `onChange` is called after `set`, `add` and `clear`. */
  constructor(parse: (input: unknown) => F, onChange: () => void) {
    this.#parse = parse;
    this.#onChange = onChange;
  }

  /** Replaces all faults. */
  set(faults: readonly unknown[]): void {
    this.#active = faults.map((input) => {
      const fault = this.#parse(input);
      return { fault, requestsLeft: fault.times ?? Infinity };
    });
    this.#onChange();
  }

  /** Adds a fault. */
  add(input: unknown): void {
    const fault = this.#parse(input);
    this.#active.push({ fault, requestsLeft: fault.times ?? Infinity });
    this.#onChange();
  }

  /** Removes all faults. */
  clear(): void {
    this.set([]);
  }

  /** Returns the fault of this type if it is in force, without counting a request. */
  peek<T extends F["type"]>(type: T): Extract<F, { type: T }> | undefined {
    const found = this.#active.find((active) => active.fault.type === type);
    return found?.fault as Extract<F, { type: T }> | undefined;
  }

  /** Returns the faults that apply to a request that arrives now, and counts the request. */
  take(): FaultSet<F> {
    const taken = this.#active.map((active) => active.fault);
    for (const active of this.#active) active.requestsLeft--;
    this.#active = this.#active.filter((active) => active.requestsLeft > 0);
    return new FaultSet(taken);
  }

  /** All faults in force. */
  list(): readonly F[] {
    return this.#active.map((active) => active.fault);
  }
}

/** The faults that apply to one request. */
export class FaultSet<F extends { readonly type: string }> {
  readonly #faults: readonly F[];

  constructor(faults: readonly F[]) {
    this.#faults = faults;
  }

  /** The fault of this type, if it applies to the request. */
  get<T extends F["type"]>(type: T): Extract<F, { type: T }> | undefined {
    return this.#faults.find((fault) => fault.type === type) as
      | Extract<F, { type: T }>
      | undefined;
  }
}
