/**
 * The load in flight of a region's VMs at each upstream, as a lead counts it.
 *
 * @module
 */

import type { Load, UpstreamLoad, VmLoad } from "./messages.ts";

/** A request that the lead granted to a VM and that the VM's reported load does not include yet. */
interface Grant {
  readonly question: number;
  readonly upstreamKey: string;
  readonly promptTokens: number;
  readonly grantedMs: number;
  /** Reports that arrive before this time don't tell whether the load includes it. */
  readonly confirmableMs: number;
}

/**
 * Longest usual time for a grant to reach its VM and a report to come back. A VM counts a query as settled once it is
 * queued, so a report sent before the grant arrived must not confirm it.
 */
const QUEUED_GRANT_ROUND_TRIP_MS = 50;
/** A grant that its VM has not confirmed for this long was not used, or its message was lost. */
const GRANT_TIMEOUT_MS = 1_000;
const NO_LOAD: UpstreamLoad = [0, 0];

/**
 * Sums the loads that VMs report, plus the requests granted since. Each report states a VM's whole load, so the next one
 * makes up for a lost one; grants are added until a report includes them. Without the grants, all requests of the last few
 * tenths of a second would be sent to the upstream that had the least load before them.
 */
export class LoadTracker {
  readonly #reported = new Map<string, VmLoad>();
  readonly #grants = new Map<string, Grant[]>();
  readonly #sums = new Map<string, [running: number, waitingTokens: number]>();
  /** Called when prompt tokens are added at an upstream, before other changes of the same message are applied. */
  onTokensAdded: (upstreamKey: string) => void = () => {};

  /** Replaces a VM's load by a newly reported one. */
  update(vmId: string, reported: VmLoad, nowMs: number): void {
    const before = this.#reported.get(vmId);
    if (before) this.#addLoad(before.load, -1);
    this.#addLoad(reported.load, 1);
    this.#reported.set(vmId, reported);
    this.#dropGrants(
      vmId,
      (grant) =>
        (grant.question <= reported.asked && nowMs >= grant.confirmableMs) ||
        isOver(grant, nowMs),
    );
  }

  /**
   * Counts a request that is granted to a VM; `question` is the number of the VM's question to the lead, and `wasQueued`
   * tells that the VM was answered before that it has to wait.
   */
  grant(
    vmId: string,
    question: number,
    upstreamKey: string,
    promptTokens: number,
    nowMs: number,
    wasQueued = false,
  ): void {
    const grants = this.#grants.get(vmId) ?? [];
    grants.push({
      question,
      upstreamKey,
      promptTokens,
      grantedMs: nowMs,
      confirmableMs: wasQueued ? nowMs + QUEUED_GRANT_ROUND_TRIP_MS : nowMs,
    });
    this.#grants.set(vmId, grants);
    this.#addToSum(upstreamKey, 1, promptTokens);
  }

  /**
   * Drops the loads of VMs that are no longer alive; their requests ended with them. A VM that has not reported yet may
   * have just started, so its grants are kept until they time out.
   */
  retain(isAlive: (vmId: string) => boolean, nowMs: number): void {
    for (const [vmId, { load }] of this.#reported) {
      if (isAlive(vmId)) continue;
      this.#addLoad(load, -1);
      this.#reported.delete(vmId);
      this.#dropGrants(vmId, () => true);
    }
    for (const vmId of [...this.#grants.keys()]) {
      if (!isAlive(vmId)) {
        this.#dropGrants(vmId, (grant) => isOver(grant, nowMs));
      }
    }
  }

  /** The load at one upstream. */
  at(upstreamKey: string): UpstreamLoad {
    return this.#sums.get(upstreamKey) ?? NO_LOAD;
  }

  /** The loads of all upstreams that have any. */
  get load(): Load {
    return Object.fromEntries(this.#sums);
  }

  #dropGrants(vmId: string, isSettled: (grant: Grant) => boolean): void {
    const grants = this.#grants.get(vmId);
    if (!grants) return;
    const remaining: Grant[] = [];
    for (const grant of grants) {
      if (isSettled(grant)) {
        this.#addToSum(grant.upstreamKey, -1, -grant.promptTokens);
      } else remaining.push(grant);
    }
    if (remaining.length > 0) this.#grants.set(vmId, remaining);
    else this.#grants.delete(vmId);
  }

  #addLoad(load: Load, sign: 1 | -1): void {
    for (const [key, [running, waitingTokens]] of Object.entries(load)) {
      this.#addToSum(key, sign * running, sign * waitingTokens);
    }
  }

  #addToSum(key: string, running: number, waitingTokens: number): void {
    const sum = this.#sums.get(key) ?? [0, 0];
    sum[0] += running;
    sum[1] += waitingTokens;
    if (sum[0] === 0 && sum[1] === 0) this.#sums.delete(key);
    else this.#sums.set(key, sum);
    if (waitingTokens > 0) this.onTokensAdded(key);
  }
}

function isOver({ grantedMs }: Grant, nowMs: number): boolean {
  return nowMs - grantedMs >= GRANT_TIMEOUT_MS;
}

/** Sums loads by upstream, and keeps the `most` upstreams with the most running requests. */
export function sumBusiest(loads: readonly Load[], most: number): Load {
  const sums = new Map<string, [number, number]>();
  for (const load of loads) {
    for (const [key, [running, waitingTokens]] of Object.entries(load)) {
      const sum = sums.get(key) ?? [0, 0];
      sums.set(key, [sum[0] + running, sum[1] + waitingTokens]);
    }
  }
  const busiest = [...sums].sort(([, a], [, b]) => b[0] - a[0]).slice(0, most);
  return Object.fromEntries(busiest);
}
