/**
 * A VM's view of its region, which determines the lead of each pool: the table in force, the VMs of the region and the
 * pools that the table defines.
 *
 * @module
 */

import {
  leadOrder,
  type PoolInfo,
  poolsOfRegion,
  type Table,
} from "../agreement/mod.ts";
import { rendezvous } from "../base/mod.ts";
import {
  DIGEST_STALE_MS,
  type PoolDigest,
  type RemoteRegion,
  type SlotRequest,
} from "../decisions/mod.ts";
import type { TopicValue, VmInfo } from "./messages.ts";

/** The prefix of the topics under which leads publish the digests of their pools. */
export const LOAD_TOPIC_PREFIX = "load/";

/** The published part of a pool's digest: only what others base decisions on, as every VM of the region relays it. */
export type PublishedLoad = Pick<PoolDigest, "predictedWaitMs" | "takesIn">;

/**
 * Reduces a digest to its published part. The wait has two significant digits, so that small changes are not published.
 */
export function toPublishedLoad(
  { predictedWaitMs, takesIn }: PoolDigest,
): PublishedLoad {
  return { predictedWaitMs: Number(predictedWaitMs.toPrecision(2)), takesIn };
}

/**
 * A workspace stays at its pool, where its prompts are cached, unless another pool would start the request this much
 * sooner. A gain below the cost of an uncached prompt would only replace queueing time by prefill time.
 */
const MIN_SWITCH_GAIN_MS = 500;

/** Leads look at other regions' pools this often. A choice must do until the next one. */
const CHOICE_INTERVAL_MS = 1000;

/**
 * The pool of another region with the shortest wait among those that take requests in; if none does, the one with the
 * shortest wait. A region's digests hold its pools in turn, so pools whose values are about to be too old for sending
 * requests count only if all are.
 */
export function bestPool(
  values: readonly TopicValue[],
  nowMs: number,
): Pick<RemoteRegion, "predictedWaitMs" | "takesIn" | "seenAtMs"> | undefined {
  const minSeenAtMs = nowMs - DIGEST_STALE_MS + CHOICE_INTERVAL_MS;
  const fresh = values.filter(({ seenAtMs }) => seenAtMs >= minSeenAtMs);
  const candidates = fresh.length > 0 ? fresh : values;
  const pools = candidates.map(({ body, seenAtMs }) => {
    const { predictedWaitMs, takesIn } = body as PublishedLoad;
    return { predictedWaitMs, takesIn, seenAtMs };
  });
  pools.sort((a, b) =>
    Number(b.takesIn) - Number(a.takesIn) ||
    a.predictedWaitMs - b.predictedWaitMs
  );
  return pools[0];
}

/** The table, VMs and pools of a region as one VM knows them. */
export class LeadView {
  readonly self: VmInfo;
  #table: Table | undefined;
  #vms: readonly VmInfo[];
  #pools: ReadonlyMap<string, PoolInfo> = new Map();
  #poolsByService = new Map<string, PoolInfo[]>();
  #candidates = new Map<string, readonly VmInfo[]>();
  #digests = new Map<string, PublishedLoad>();

  constructor(self: VmInfo) {
    this.self = self;
    this.#vms = [self];
  }

  get table(): Table | undefined {
    return this.#table;
  }
  get vms(): readonly VmInfo[] {
    return this.#vms;
  }
  get pools(): ReadonlyMap<string, PoolInfo> {
    return this.#pools;
  }

  /** Replaces the table if `table` is newer. Returns whether it is. */
  setTable(table: Table | undefined): boolean {
    if (!table || table.version <= (this.#table?.version ?? -1)) return false;
    this.#table = table;
    this.#pools = poolsOfRegion(table, this.self.region);
    this.#poolsByService = new Map();
    for (const pool of this.#pools.values()) {
      const pools = this.#poolsByService.get(pool.service) ?? [];
      pools.push(pool);
      this.#poolsByService.set(pool.service, pools);
    }
    return true;
  }

  /** Replaces the VMs of the region. Returns whether any VM joined, left, restarted or changed its state. */
  setVms(vms: readonly VmInfo[]): boolean {
    const before = this.#vms.map(stateKey).sort().join();
    this.#vms = vms.length > 0 ? vms : [this.self];
    this.#candidates.clear();
    return before !== this.#vms.map(stateKey).sort().join();
  }

  /** Replaces the pools' digests with those that the leads of this region published. */
  setDigests(topics: readonly TopicValue[]): void {
    this.#digests = new Map();
    for (const { topic, body } of topics) {
      if (!topic.startsWith(LOAD_TOPIC_PREFIX)) continue;
      this.#digests.set(
        topic.slice(LOAD_TOPIC_PREFIX.length),
        body as PublishedLoad,
      );
    }
  }

  /** The VMs that may lead this pool, best first. It is never empty. */
  leadCandidates(poolKey: string): readonly VmInfo[] {
    let candidates = this.#candidates.get(poolKey);
    if (!candidates) {
      candidates = leadOrder(poolKey, this.#vms);
      this.#candidates.set(poolKey, candidates);
    }
    return candidates;
  }

  /** The VM that leads this pool according to this view. */
  leadOf(poolKey: string): VmInfo {
    return this.leadCandidates(poolKey)[0];
  }

  /** Whether the region has a VM with this id. */
  hasVm(vmId: string): boolean {
    return this.#vms.some((vm) => vm.id === vmId);
  }

  /** Chooses a request's pool: the preferred one of its workspace, unless the second would start it much sooner. */
  choosePool(request: SlotRequest): PoolInfo | undefined {
    const pools = this.#poolsByService.get(request.service) ?? [];
    if (pools.length < 2) return pools[0];
    const [first, second] = rendezvous(
      request.workspace,
      pools,
      (pool) => pool.key,
    );
    const gainMs = this.#waitMs(first) - this.#waitMs(second);
    return gainMs > MIN_SWITCH_GAIN_MS ? second : first;
  }

  #waitMs(pool: PoolInfo): number {
    return this.#digests.get(`${pool.service}/${pool.number}`)
      ?.predictedWaitMs ?? 0;
  }
}

function stateKey(vm: VmInfo): string {
  return `${vm.id}/${vm.incarnation}/${vm.state}`;
}
