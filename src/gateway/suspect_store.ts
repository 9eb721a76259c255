/**
 * What the store holds of suspects: requests with so many ends that a restart of all VMs must not forget them, and the
 * leave to run one once more, which one VM gets at a time.
 *
 * @module
 */

import type { KeyValue } from "../adapters/mod.ts";
import { SUSPECT_PREFIX, TRIAL_PREFIX } from "../platform/mod.ts";

/** The longest lease that the store gives; a restart of all VMs takes seconds. */
const RECORD_MS = 10 * 60_000;
/** A request that runs once more has ended its upstream or survived by then; a VM that was lost meanwhile holds it up so long. */
const TRIAL_MS = 15_000;

/** A suspect as it stands in the store. */
export interface StoredSuspect {
  readonly digest: string;
  /** Keys of the upstreams that ended under it. */
  readonly upstreams: readonly string[];
}

/** See the module. What fails is told to the caller; nothing is tried again here. */
export class SuspectStore {
  readonly #store: KeyValue;
  readonly #vmId: string;
  readonly #leastLeaseMs: number;

  constructor(store: KeyValue, vmId: string, leastLeaseMs: number) {
    this.#store = store;
    this.#vmId = vmId;
    this.#leastLeaseMs = leastLeaseMs;
  }

  /** All that stand there; `undefined` if the store did not say. */
  async list(): Promise<StoredSuspect[] | undefined> {
    const listing = await this.#store.list(SUSPECT_PREFIX, {}, "other");
    if (listing.isErr()) return undefined;
    return listing.value.entries.flatMap(({ key, value }) => {
      const upstreams = decode(value);
      return upstreams
        ? [{ digest: key.slice(SUSPECT_PREFIX.length), upstreams }]
        : [];
    });
  }

  /** Writes a suspect down. */
  async put({ digest, upstreams }: StoredSuspect): Promise<boolean> {
    return await this.#putLeased(
      SUSPECT_PREFIX + digest,
      JSON.stringify(upstreams),
      RECORD_MS,
    );
  }

  /** Takes the leave to run a suspect; `false` if another has it or the store does not answer. */
  async takeTrial(digest: string): Promise<boolean> {
    return await this.#putLeased(
      TRIAL_PREFIX + digest,
      this.#vmId,
      TRIAL_MS,
      0,
    );
  }

  /** Strikes a suspect out: it ran and ended nothing. */
  async strike(digest: string): Promise<void> {
    await this.#store.transact([
      { type: "delete", key: SUSPECT_PREFIX + digest },
      { type: "delete", key: TRIAL_PREFIX + digest },
    ], "other");
  }

  async #putLeased(
    key: string,
    value: string,
    leaseMs: number,
    ifRev?: number,
  ): Promise<boolean> {
    const lease = await this.#store.grant(
      Math.max(this.#leastLeaseMs, leaseMs),
      "other",
    );
    if (lease.isErr()) return false;
    const put = await this.#store.put(
      key,
      value,
      { leaseId: lease.value, ...(ifRev === undefined ? {} : { ifRev }) },
      "other",
    );
    if (put.isOk()) return true;
    void this.#store.revoke(lease.value, "other");
    return false;
  }
}

/** A value from the store; `undefined` if it is not ours. */
function decode(value: string): string[] | undefined {
  try {
    const keys: unknown = JSON.parse(value);
    if (!Array.isArray(keys)) return undefined;
    return keys.filter((key): key is string => typeof key === "string");
  } catch {
    return undefined;
  }
}
