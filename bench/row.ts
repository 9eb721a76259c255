/**
 * What a bench returns.
 *
 * @module
 */

/** One figure. */
export interface Row {
  readonly bench: string;
  readonly case: string;
  readonly policy: string;
  readonly measure: string;
  readonly value: number;
  readonly unit: string;
  readonly seed: number;
}

/** A bench: its module exports it as `run`. */
export type Bench = (args: readonly string[]) => Promise<readonly Row[]>;
