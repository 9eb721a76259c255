/**
 * Entries in the store by which VMs find each other if no seed answers. Only leads write one, so that neither the
 * entries nor the calls grow with the number of VMs.
 *
 * @module
 */

import type { KeyValue } from "../adapters/mod.ts";
import type { Clock } from "../base/mod.ts";
import type { Log } from "../kernel/mod.ts";
import { VM_PREFIX } from "../platform/mod.ts";
import { isVmRecord, type VmRecord } from "../region/mod.ts";

/** Lease time of an entry. A VM that finds an outdated entry contacts its VM in vain, which does no harm. */
const LEASE_MS = 20_000;
const RENEW_INTERVAL_MS = 5_000;
/** How long a VM has to lead before it writes an entry: a VM that starts leads until it has heard of others. */
const MIN_LEAD_MS = 3_000;
/** How often a lead lists the other entries, so that parts of a region that don't know of each other are joined. */
const LEAD_LIST_INTERVAL_MS = 15_000;
/**
 * How often a VM that hears no other lists them: all VMs may be starting, and the first leads are about to write their
 * entries.
 */
const ALONE_LIST_INTERVAL_MS = 1_500;
/** Time for a seed's answer, a round trip over the longest link; only then is the store asked. */
const SEED_WAIT_MS = 400;
const CHECK_INTERVAL_MS = 500;

/** This VM's entry as it was written. */
interface WrittenEntry {
  readonly leaseId: string;
  readonly rev: number;
  /** See {@link KeyValue.generation}. */
  readonly generation: number | undefined;
}

/** Options of {@link VmRegistration}. */
export interface VmRegistrationOptions {
  readonly self: VmRecord;
  readonly store: KeyValue;
  readonly leastLeaseMs: number;
  readonly clock: Clock;
  readonly log: Log;
  /** Whether there are seeds that may answer before the store is asked. */
  readonly hasSeeds: boolean;
  readonly isLead: () => boolean;
  /** Whether this VM hears from no other VM of its region. */
  readonly isAlone: () => boolean;
  readonly onFound: (vms: readonly VmRecord[]) => void;
}

/** Maintains this VM's entry while it leads, and lists the entries of other VMs. */
export class VmRegistration {
  readonly #options: VmRegistrationOptions;
  #written: WrittenEntry | undefined;
  #leadSinceMs: number | undefined;
  #renewedMs = -Infinity;
  #listedMs = -Infinity;
  #isOpen = true;

  constructor(options: VmRegistrationOptions) {
    this.#options = options;
  }

  /** Starts to maintain the entry; never throws. */
  start(): void {
    void this.#run();
  }

  /** Removes the entry. */
  async close(): Promise<void> {
    this.#isOpen = false;
    await this.#delete();
  }

  async #run(): Promise<void> {
    const { clock, hasSeeds } = this.#options;
    if (hasSeeds) await clock.sleep(SEED_WAIT_MS);
    while (this.#isOpen) {
      await this.#check(clock.monoMs());
      await clock.sleep(CHECK_INTERVAL_MS);
    }
  }

  async #check(nowMs: number): Promise<void> {
    const { isLead, isAlone } = this.#options;
    if (!isLead()) {
      this.#leadSinceMs = undefined;
      await this.#delete();
      return;
    }
    this.#leadSinceMs ??= nowMs;
    const listEveryMs = isAlone()
      ? ALONE_LIST_INTERVAL_MS
      : LEAD_LIST_INTERVAL_MS;
    if (nowMs - this.#listedMs >= listEveryMs) await this.#discover(nowMs);
    if (nowMs - this.#leadSinceMs < MIN_LEAD_MS) return;
    if (nowMs - this.#renewedMs >= RENEW_INTERVAL_MS) await this.#renew(nowMs);
  }

  async #discover(nowMs: number): Promise<void> {
    const { store, log, onFound } = this.#options;
    const listing = await store.list(VM_PREFIX, {}, "membership");
    // The next listing makes up for a failed one; the followers of the store log its outage.
    if (listing.isErr() || !this.#isOpen) return;
    this.#listedMs = nowMs;
    const found: VmRecord[] = [];
    for (const { key, rev, value } of listing.value.entries) {
      try {
        const vm: unknown = JSON.parse(value);
        if (isVmRecord(vm)) found.push(vm);
      } catch {
        log.warn("vm entry unreadable", { key, rev });
      }
    }
    onFound(found);
  }

  async #renew(nowMs: number): Promise<void> {
    const { store, self, leastLeaseMs } = this.#options;
    this.#renewedMs = nowMs;
    if (await this.#keep()) return;
    const lease = await store.grant(
      Math.max(leastLeaseMs, LEASE_MS),
      "membership",
    );
    if (lease.isErr() || !this.#isOpen) return;
    const leaseId = lease.value;
    const { generation } = store;
    const put = await store.put(VM_PREFIX + self.id, JSON.stringify(self), {
      leaseId,
    }, "membership");
    if (put.isOk()) this.#written = { leaseId, rev: put.value, generation };
    else void store.revoke(leaseId, "membership");
  }

  /** Renews the lease of the entry. Returns whether the entry is there, or the store did not answer. */
  async #keep(): Promise<boolean> {
    const { store } = this.#options;
    if (!this.#written) return false;
    const { leaseId, generation } = this.#written;
    if (store.generation === generation) {
      const renewed = await store.keepAlive(leaseId, "membership");
      const isGone = renewed.isErr() && renewed.error.kind === "leaseGone";
      if (!isGone && store.generation === generation) return true;
    }
    this.#written = undefined;
    return false;
  }

  /** Deletes the entry. Its lease ends by itself: if the store came back from a copy, the id may be another lease's. */
  async #delete(): Promise<void> {
    const { store, self } = this.#options;
    const written = this.#written;
    if (!written) return;
    this.#written = undefined;
    await store.transact([{
      type: "delete",
      key: VM_PREFIX + self.id,
      ifRev: written.rev,
    }], "membership");
  }
}
