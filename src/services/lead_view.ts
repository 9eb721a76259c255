/**
 * What a VM knows when it looks for a pool's lead: the table in force, the VMs of its region, the pools that follow.
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
import type { PoolDigest, SlotRequest } from "../decisions/mod.ts";
import type { TopicValue, VmInfo } from "./messages.ts";

/** Prefix of the topics under which leads publish the digests of their pools. */
export const LOAD_TOPIC_PREFIX = "load/";

/** What is published of a pool: no more than others decide on, as every VM of the region passes it on. */
export type PublishedLoad = Pick<PoolDigest, "predictedWaitMs" | "takesIn">;

/** The digest as it is published: a wait to two digits, so that small changes are no news. */
export function toPublishedLoad(
  { predictedWaitMs, takesIn }: PoolDigest,
): PublishedLoad {
  return { predictedWaitMs: Number(predictedWaitMs.toPrecision(2)), takesIn };
}

/**
 * A workspace keeps to its pool, where its prompts are cached, until another would start it this much sooner. Less than
 * a cold prompt costs would only trade waiting for prefill.
 */
const MIN_SWITCH_GAIN_MS = 500;

/** See the module's comment. */
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

  /** Takes a newer table; answers whether it was one. */
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

  /** Takes the VMs of the region; answers whether any came, went or started to leave. */
  setVms(vms: readonly VmInfo[]): boolean {
    const before = this.#vms.map(stateKey).sort().join();
    this.#vms = vms.length > 0 ? vms : [this.self];
    this.#candidates.clear();
    return before !== this.#vms.map(stateKey).sort().join();
  }

  /** Takes the pools' digests as this region's leads published them. */
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

  /** The VMs that may lead this pool, best first; never empty. */
  leadCandidates(poolKey: string): readonly VmInfo[] {
    let candidates = this.#candidates.get(poolKey);
    if (!candidates) {
      candidates = leadOrder(poolKey, this.#vms);
      this.#candidates.set(poolKey, candidates);
    }
    return candidates;
  }

  /** The VM that leads this pool, as seen from here. */
  leadOf(poolKey: string): VmInfo {
    return this.leadCandidates(poolKey)[0];
  }

  /** Whether a VM of this id is still among those of the region. */
  hasVm(vmId: string): boolean {
    return this.#vms.some((vm) => vm.id === vmId);
  }

  /** The pool a request goes to: its workspace's own, unless another would start it much sooner. */
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
