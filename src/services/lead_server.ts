/**
 * Runs the pools that this VM leads, and answers requests when their pool has decided them.
 *
 * @module
 */

import type { Log } from "../kernel/mod.ts";
import type { PoolInfo } from "../agreement/mod.ts";
import { type Clock, hash32 } from "../base/mod.ts";
import type {
  HeldSlot,
  LoadReport,
  PoolDigest,
  RemoteRegion,
  SlotRequest,
} from "../decisions/mod.ts";
import type {
  AcquireMessage,
  AcquireReply,
  CancelMessage,
  HandoverMessage,
  RenewMessage,
  RenewReply,
  ReportMessage,
} from "./lead_messages.ts";
import { type LeadOutput, LeadPool } from "./lead_pool.ts";
import type { LeadView } from "./lead_view.ts";

/** Receives the orders of led pools. It is responsible for fencing numbers and for each upstream's protocol. */
export type OrderSink = (
  pool: PoolInfo,
  order: Extract<LeadOutput, { type: "order" }>,
) => void;

/** The dependencies of a {@link LeadServer}. */
export interface LeadServerContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly view: LeadView;
  readonly onOrder: OrderSink;
  /** Waits for the table version that a request was accepted on. Resolves after a short timeout in any case. */
  readonly catchUp: (request: SlotRequest) => Promise<void>;
  /** Asks every VM of the region which slots of a pool it holds; `onHeld` is called for each one that answers. */
  readonly collect: (
    poolKey: string,
    onHeld: (entry: string, held: readonly HeldSlot[]) => void,
  ) => void;
  /** Sends the slots that were granted here to the next lead. */
  readonly handOver: (message: HandoverMessage) => void;
}

/** Starts, runs and stops the pools that this VM leads. */
export class LeadServer {
  readonly #context: LeadServerContext;
  readonly #ledPools = new Map<string, LeadPool>();
  readonly #resolvers = new Map<string, ((reply: AcquireReply) => void)[]>();
  /** Attempts that wait for the table version that they were accepted on. */
  readonly #awaitingTable = new Set<string>();
  #isClosed = false;

  constructor(context: LeadServerContext) {
    this.#context = context;
  }

  isLeadOf(poolKey: string): boolean {
    return this.#ledPools.has(poolKey);
  }

  /** Starts, stops and updates pools after the table or the VMs of the region changed. */
  update(tableChanged: boolean): void {
    const { view, clock } = this.#context;
    for (const key of [...this.#ledPools.keys()]) {
      const isLead = view.pools.has(key) &&
        view.leadOf(key).id === view.self.id;
      if (!isLead) this.#stop(key);
    }
    if (this.#isClosed || !view.table) return;
    for (const info of view.pools.values()) {
      const led = this.#ledPools.get(info.key);
      if (led && tableChanged) {
        this.#applyOutputs(
          info,
          led.configure(view.table, info, clock.nowMs()),
        );
      }
      const canceled = led?.cancelForMissing(
        (id) => view.hasVm(id),
        clock.nowMs(),
      );
      if (canceled) this.#applyOutputs(info, canceled);
      if (!led && view.leadOf(info.key).id === view.self.id) this.#start(info);
    }
  }

  /** Resolves when the request is decided, which may take until its deadline. */
  acquire(message: AcquireMessage): Promise<AcquireReply> {
    const version = this.#context.view.table?.version ?? 0;
    const isBehind = message.request.tableVersion > version;
    return isBehind ? this.#decideAfterCatchUp(message) : this.#decide(message);
  }

  async #decideAfterCatchUp(message: AcquireMessage): Promise<AcquireReply> {
    const { request } = message;
    this.#awaitingTable.add(request.attemptId);
    await this.#context.catchUp(request);
    const isWanted = this.#awaitingTable.delete(request.attemptId);
    return isWanted ? await this.#decide(message) : { type: "moved" };
  }

  #decide(message: AcquireMessage): Promise<AcquireReply> {
    const led = this.#ledPools.get(message.pool);
    const info = this.#context.view.pools.get(message.pool);
    if (!led || !info) return Promise.resolve({ type: "moved" });
    const { attemptId } = message.request;
    return new Promise((resolve) => {
      const resolvers = this.#resolvers.get(attemptId) ?? [];
      resolvers.push(resolve);
      this.#resolvers.set(attemptId, resolvers);
      const nowMs = this.#context.clock.nowMs();
      this.#applyOutputs(
        info,
        led.request(message.request, message.entry, nowMs),
      );
    });
  }

  renew(message: RenewMessage): RenewReply {
    const led = this.#ledPools.get(message.pool);
    if (!led) return { type: "moved" };
    const nowMs = this.#context.clock.nowMs();
    if (message.held) {
      this.#applyToPool(
        message.pool,
        led.reconcile(message.entry, message.held, nowMs),
      );
      return { type: "renewed" };
    }
    const hasAgreed = led.renew(message.entry, message.digest, nowMs);
    return { type: hasAgreed ? "renewed" : "disagreed" };
  }

  report(message: ReportMessage): void {
    const led = this.#ledPools.get(message.pool);
    if (!led) return;
    const nowMs = this.#context.clock.nowMs();
    this.#applyToPool(message.pool, led.report(message.report, nowMs));
  }

  cancel(message: CancelMessage): void {
    const { attemptId, pool } = message;
    this.#awaitingTable.delete(attemptId);
    const led = this.#ledPools.get(pool);
    if (!led) return;
    this.#applyToPool(pool, led.cancel(attemptId, this.#context.clock.nowMs()));
    this.#resolve(attemptId, { type: "moved" });
  }

  adoptHandover(message: HandoverMessage): void {
    const led = this.#ledPools.get(message.pool);
    if (!led) return;
    const nowMs = this.#context.clock.nowMs();
    for (const [entry, held] of message.held) {
      this.#applyToPool(message.pool, led.adoptHandover(entry, held, nowMs));
    }
  }

  observeLoad(poolKey: string, load: LoadReport): void {
    const led = this.#ledPools.get(poolKey);
    if (!led) return;
    this.#applyToPool(poolKey, led.observe(load, this.#context.clock.nowMs()));
  }

  setRemoteRegions(
    remoteRegionsOf: (info: PoolInfo) => readonly RemoteRegion[],
  ): void {
    const nowMs = this.#context.clock.nowMs();
    for (const [info, led] of this.#listPools()) {
      led.pool.setRemoteRegions(remoteRegionsOf(info), nowMs);
    }
  }

  tick(): void {
    const nowMs = this.#context.clock.nowMs();
    for (const [info, led] of this.#listPools()) {
      this.#applyOutputs(info, led.tick(nowMs));
    }
  }

  /** The led pools that have finished collecting held slots, with their digests. */
  digests(): [PoolInfo, PoolDigest][] {
    const nowMs = this.#context.clock.nowMs();
    return this.#listPools()
      .filter(([, led]) => !led.isCollecting)
      .map(([info, led]) => [info, led.pool.digest(nowMs)]);
  }

  /** The pools that this VM leads. */
  ledPoolInfos(): PoolInfo[] {
    return this.#listPools().map(([info]) => info);
  }

  /**
   * Restarts all pools after a pause of this process. Their records still contain slots that were released elsewhere
   * meanwhile, and upstreams seem to have been silent as long as this VM paused. The new pools learn from the entry VMs
   * what is held.
   */
  restart(): void {
    for (const key of [...this.#ledPools.keys()]) this.#drop(key);
    this.update(false);
  }

  /** Stops leading all pools and hands them over. */
  close(): void {
    this.#isClosed = true;
    for (const key of [...this.#ledPools.keys()]) this.#stop(key);
  }

  dump(): unknown {
    const pools: Record<string, unknown> = {};
    for (const [key, led] of this.#ledPools) pools[key] = led.dump();
    return { pools, waiting: this.#resolvers.size };
  }

  #listPools(): [PoolInfo, LeadPool][] {
    const pools: [PoolInfo, LeadPool][] = [];
    for (const [key, led] of this.#ledPools) {
      const info = this.#context.view.pools.get(key);
      if (info) pools.push([info, led]);
    }
    return pools;
  }

  #start(info: PoolInfo): void {
    const { view, clock, log, collect } = this.#context;
    const vmIds = view.vms.map((vm) => vm.id);
    const nowMs = clock.nowMs();
    const led = new LeadPool(info, vmIds, hash32(info.key), nowMs);
    this.#ledPools.set(info.key, led);
    log.info("lead started", { pool: info.key, vms: vmIds.length });
    this.#applyOutputs(info, led.configure(view.table!, info, nowMs));
    collect(info.key, (entry, held) => {
      if (this.#ledPools.get(info.key) !== led) return;
      this.#applyToPool(info.key, led.adoptHeld(entry, held, clock.nowMs()));
    });
  }

  #stop(key: string): void {
    const held = this.#drop(key).heldByEntry();
    this.#context.handOver({ pool: key, held });
  }

  /** Stops leading a pool. The entry VMs send the requests that wait here to the next lead. */
  #drop(key: string): LeadPool {
    const led = this.#ledPools.get(key)!;
    this.#ledPools.delete(key);
    for (const output of led.stop()) {
      if (output.type === "moved") this.#resolve(output.attemptId, output);
    }
    this.#context.log.info("lead stopped", { pool: key });
    return led;
  }

  #applyToPool(poolKey: string, outputs: readonly LeadOutput[]): void {
    const info = this.#context.view.pools.get(poolKey);
    if (info) this.#applyOutputs(info, outputs);
  }

  #applyOutputs(info: PoolInfo, outputs: readonly LeadOutput[]): void {
    for (const output of outputs) {
      if (output.type === "order") this.#context.onOrder(info, output);
      else if (output.type === "moved") {
        this.#resolve(output.attemptId, { type: "moved" });
      } else {
        this.#resolve(output.attemptId, {
          type: "decided",
          answer: output.answer,
        });
      }
    }
  }

  #resolve(attemptId: string, reply: AcquireReply): void {
    const resolvers = this.#resolvers.get(attemptId);
    this.#resolvers.delete(attemptId);
    for (const resolve of resolvers ?? []) resolve(reply);
  }
}
