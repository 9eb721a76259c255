/**
 * What truly ran at a stand-in upstream, for tests and the replay to compare with what callers were told.
 *
 * @module
 */

/** One request as the upstream saw it. Times are wall-clock; a request ran if it has `startedAtMs`. */
export interface RunRecord {
  /** Counted from 1 for each upstream. */
  readonly run: number;
  readonly method: string;
  readonly path: string;
  /** The gateway's `x-request-id`: one for each attempt. */
  readonly requestId: string;
  readonly idempotencyKey?: string;
  /** The prompt's nonce, or a digest of a plain call's body. */
  readonly nonce: string;
  readonly receivedAtMs: number;
  refused?: boolean;
  startedAtMs?: number;
  finishedAtMs?: number;
  /** When the connection was closed before the end. */
  canceledAtMs?: number;
  /** Tokens generated, those before a resume not counted. */
  tokens: number;
  /** Prompt tokens found in the prefix cache. */
  warmTokens: number;
  resumedFrom?: number;
}

/** What is known of a request when it arrives. */
export type ReceivedRequest = Pick<
  RunRecord,
  "method" | "path" | "requestId" | "idempotencyKey" | "nonce"
>;

const MAX_RECORDS = 200_000;

/** The records of one upstream, oldest first; only the newest are kept. */
export class RunRecords {
  #records: RunRecord[] = [];
  #lastRun = 0;

  /** Records an arrival; the answer is filled in as the request goes on. */
  add(request: ReceivedRequest): RunRecord {
    const record: RunRecord = {
      ...request,
      run: ++this.#lastRun,
      receivedAtMs: Date.now(),
      tokens: 0,
      warmTokens: 0,
    };
    if (this.#records.length >= MAX_RECORDS) {
      this.#records = this.#records.slice(MAX_RECORDS / 2);
    }
    this.#records.push(record);
    return record;
  }

  /** All records kept. */
  list(): readonly RunRecord[] {
    return this.#records;
  }

  /** Forgets all; the numbers go on. */
  clear(): void {
    this.#records = [];
  }
}
