/**
 * Faults that a stand-in upstream can be told to have, by code or by `POST /faults`.
 *
 * @module
 */

import { z } from "zod";

/** How many requests the fault strikes; absent: all until it is cleared. */
const times = z.number().int().min(1).optional();
const ms = z.number().min(0).max(3_600_000);
const tokens = z.number().int().min(0);

/** Faults of a stand-in engine; see docs/TRACE.md for what each does. */
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

/** The faults in force. A fault with `times` is used up by the requests that take it. */
export class Faults<F extends { readonly type: string; times?: number }> {
  readonly #parse: (input: unknown) => F;
  readonly #onChange: () => void;
  #active: ActiveFault<F>[] = [];

  /** `parse` checks a fault; `onChange` is told of each change of the set. */
  constructor(parse: (input: unknown) => F, onChange: () => void) {
    this.#parse = parse;
    this.#onChange = onChange;
  }

  /** Puts these in place of all others. */
  set(faults: readonly unknown[]): void {
    this.#active = faults.map((input) => {
      const fault = this.#parse(input);
      return { fault, requestsLeft: fault.times ?? Infinity };
    });
    this.#onChange();
  }

  /** Adds one to those in force. */
  add(input: unknown): void {
    const fault = this.#parse(input);
    this.#active.push({ fault, requestsLeft: fault.times ?? Infinity });
    this.#onChange();
  }

  /** Ends all faults. */
  clear(): void {
    this.set([]);
  }

  /** The fault of this type, if it is in force; uses nothing up. */
  peek<T extends F["type"]>(type: T): Extract<F, { type: T }> | undefined {
    const found = this.#active.find((s) => s.fault.type === type);
    return found?.fault as Extract<F, { type: T }> | undefined;
  }

  /** The faults that strike a request which arrives now. */
  take(): FaultSet<F> {
    const taken = this.#active.map((s) => s.fault);
    for (const active of this.#active) active.requestsLeft--;
    this.#active = this.#active.filter((s) => s.requestsLeft > 0);
    return new FaultSet(taken);
  }

  /** All faults in force. */
  list(): readonly F[] {
    return this.#active.map((s) => s.fault);
  }
}

/** The faults one request meets. */
export class FaultSet<F extends { readonly type: string }> {
  readonly #faults: readonly F[];

  /** Holds these faults. */
  constructor(faults: readonly F[]) {
    this.#faults = faults;
  }

  /** The fault of this type, if the request meets it. */
  get<T extends F["type"]>(type: T): Extract<F, { type: T }> | undefined {
    return this.#faults.find((fault) => fault.type === type) as
      | Extract<F, { type: T }>
      | undefined;
  }
}
