/**
 * The rows that a bench returns.
 *
 * @module
 */

/** One figure of a bench, with the case and policy that it was measured for. */
export interface Row {
  readonly bench: string;
  readonly case: string;
  readonly policy: string;
  readonly measure: string;
  readonly value: number;
  readonly unit: string;
  readonly seed: number;
}

/** Runs a bench. A bench's module exports it as `run`. */
export type Bench = (args: readonly string[]) => Promise<readonly Row[]>;
