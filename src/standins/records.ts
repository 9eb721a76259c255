/**
 * Records of the requests that ran at a stand-in upstream. Tests and the replay compare them with the callers' answers.
 *
 * @module
 */

/** One request as the upstream received it. Times are wall-clock times; a request ran if it has `startedAtMs`. */
export interface RunRecord {
  /** Number of the request, counted from 1 at each upstream. */
  readonly run: number;
  readonly method: string;
  readonly path: string;
  /** The gateway's `x-request-id`, which is unique to each attempt. */
  readonly requestId: string;
  readonly idempotencyKey?: string;
  /** The prompt's nonce, or a digest of a plain call's body. */
  readonly nonce: string;
  readonly receivedAtMs: number;
  refused?: boolean;
  startedAtMs?: number;
  finishedAtMs?: number;
  /** When the connection closed, if it did so before the end of the answer. */
  canceledAtMs?: number;
  /** Generated tokens, without those before a resume. */
  tokens: number;
  /** Prompt tokens found in the prefix cache. */
  warmTokens: number;
  resumedFrom?: number;
}

/** The fields of a record that are known when the request arrives. */
export type ReceivedRequest = Pick<
  RunRecord,
  "method" | "path" | "requestId" | "idempotencyKey" | "nonce"
>;

const MAX_RECORDS = 200_000;

/** The records of one upstream, oldest first; the older half is discarded when there are too many. */
export class RunRecords {
  #records: RunRecord[] = [];
  #lastRun = 0;

  /** Adds the record of a request that arrives; the caller updates it as the request runs. */
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

  /** All records that are kept. */
  list(): readonly RunRecord[] {
    return this.#records;
  }

  /** Removes all records; the numbering continues. */
  clear(): void {
    this.#records = [];
  }
}
