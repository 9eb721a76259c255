/**
 * The pools that this VM leads, and the requests that wait for their decisions.
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

/** Where the orders of led pools go: fencing numbers and the upstreams' contracts are theirs. */
export type OrderSink = (
  pool: PoolInfo,
  order: Extract<LeadOutput, { type: "order" }>,
) => void;

/** What a {@link LeadServer} needs of its task. */
export interface LeadServerContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly view: LeadView;
  readonly onOrder: OrderSink;
  /** Resolves when the table that a request was accepted on is in force here, or soon after anyway. */
  readonly catchUp: (request: SlotRequest) => Promise<void>;
  /** Asks every other VM of the region what it holds of a pool; `heard` is called for each that answers. */
  readonly collect: (
    poolKey: string,
    heard: (entry: string, held: readonly HeldSlot[]) => void,
  ) => void;
  /** Tells the next lead what was granted here. */
  readonly handOver: (message: HandoverMessage) => void;
}

/** See the module's comment. */
export class LeadServer {
  readonly #context: LeadServerContext;
  readonly #led = new Map<string, LeadPool>();
  readonly #resolvers = new Map<string, ((reply: AcquireReply) => void)[]>();
  /** Attempts that wait for the table they were accepted on. */
  readonly #arriving = new Set<string>();
  #closed = false;

  constructor(context: LeadServerContext) {
    this.#context = context;
  }

  leads(poolKey: string): boolean {
    return this.#led.has(poolKey);
  }

  /** Starts and stops pools after the table or the VMs changed. */
  follow(tableChanged: boolean): void {
    const { view, clock } = this.#context;
    for (const key of [...this.#led.keys()]) {
      const mine = view.pools.has(key) && view.lead(key).id === view.self.id;
      if (!mine) this.#stop(key);
    }
    if (this.#closed || !view.table) return;
    for (const info of view.pools.values()) {
      const led = this.#led.get(info.key);
      if (led && tableChanged) {
        this.#take(info, led.configure(view.table, info, clock.nowMs()));
      }
      const gone = led?.dropEntries((id) => view.hasVm(id), clock.nowMs());
      if (gone) this.#take(info, gone);
      if (!led && view.lead(info.key).id === view.self.id) this.#start(info);
    }
  }

  /** Resolves once the request is decided, which may take until its deadline. */
  acquire(message: AcquireMessage): Promise<AcquireReply> {
    const version = this.#context.view.table?.version ?? 0;
    const behind = message.request.tableVersion > version;
    return behind ? this.#decideLater(message) : this.#decide(message);
  }

  async #decideLater(message: AcquireMessage): Promise<AcquireReply> {
    const { request } = message;
    this.#arriving.add(request.attemptId);
    await this.#context.catchUp(request);
    const wanted = this.#arriving.delete(request.attemptId);
    return wanted ? await this.#decide(message) : { type: "moved" };
  }

  #decide(message: AcquireMessage): Promise<AcquireReply> {
    const led = this.#led.get(message.pool);
    const info = this.#context.view.pools.get(message.pool);
    if (!led || !info) return Promise.resolve({ type: "moved" });
    const { attemptId } = message.request;
    return new Promise((resolve) => {
      const resolvers = this.#resolvers.get(attemptId) ?? [];
      resolvers.push(resolve);
      this.#resolvers.set(attemptId, resolvers);
      const nowMs = this.#context.clock.nowMs();
      this.#take(info, led.request(message.request, message.entry, nowMs));
    });
  }

  renew(message: RenewMessage): RenewReply {
    const led = this.#led.get(message.pool);
    if (!led) return { type: "moved" };
    const nowMs = this.#context.clock.nowMs();
    if (message.held) {
      this.#step(
        message.pool,
        led.reconcile(message.entry, message.held, nowMs),
      );
      return { type: "renewed" };
    }
    const agreed = led.renew(message.entry, message.digest, nowMs);
    return { type: agreed ? "renewed" : "disagreed" };
  }

  report(message: ReportMessage): void {
    const led = this.#led.get(message.pool);
    if (!led) return;
    const nowMs = this.#context.clock.nowMs();
    this.#step(message.pool, led.report(message.report, nowMs));
  }

  cancel(message: CancelMessage): void {
    const { attemptId, pool } = message;
    this.#arriving.delete(attemptId);
    const led = this.#led.get(pool);
    if (!led) return;
    this.#step(pool, led.cancel(attemptId, this.#context.clock.nowMs()));
    this.#resolve(attemptId, { type: "moved" });
  }

  handedOver(message: HandoverMessage): void {
    const led = this.#led.get(message.pool);
    if (!led) return;
    const nowMs = this.#context.clock.nowMs();
    for (const [entry, held] of message.held) {
      this.#step(message.pool, led.handedOver(entry, held, nowMs));
    }
  }

  observe(poolKey: string, load: LoadReport): void {
    const led = this.#led.get(poolKey);
    if (!led) return;
    this.#step(poolKey, led.observe(load, this.#context.clock.nowMs()));
  }

  setFar(far: (info: PoolInfo) => readonly RemoteRegion[]): void {
    const nowMs = this.#context.clock.nowMs();
    for (const [info, led] of this.#pools()) {
      led.pool.setRemoteRegions(far(info), nowMs);
    }
  }

  tick(): void {
    const nowMs = this.#context.clock.nowMs();
    for (const [info, led] of this.#pools()) this.#take(info, led.tick(nowMs));
  }

  /** The led pools that have started, with their digests. */
  digests(): [PoolInfo, PoolDigest][] {
    const nowMs = this.#context.clock.nowMs();
    return this.#pools()
      .filter(([, led]) => !led.collecting)
      .map(([info, led]) => [info, led.pool.digest(nowMs)]);
  }

  /** The led pools. */
  infos(): PoolInfo[] {
    return this.#pools().map(([info]) => info);
  }

  /**
   * After a pause: the book tells of slots that were given back elsewhere, and upstreams seem to have been silent for as
   * long as this VM slept. The pools start anew and learn from the entry VMs what is held.
   */
  restart(): void {
    for (const key of [...this.#led.keys()]) this.#drop(key);
    this.follow(false);
  }

  /** Steps down from all pools. */
  close(): void {
    this.#closed = true;
    for (const key of [...this.#led.keys()]) this.#stop(key);
  }

  dump(): unknown {
    const pools: Record<string, unknown> = {};
    for (const [key, led] of this.#led) pools[key] = led.dump();
    return { pools, waiting: this.#resolvers.size };
  }

  #pools(): [PoolInfo, LeadPool][] {
    const pools: [PoolInfo, LeadPool][] = [];
    for (const [key, led] of this.#led) {
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
    this.#led.set(info.key, led);
    log.info("lead started", { pool: info.key, vms: vmIds.length });
    this.#take(info, led.configure(view.table!, info, nowMs));
    collect(info.key, (entry, held) => {
      if (this.#led.get(info.key) !== led) return;
      this.#step(info.key, led.heard(entry, held, clock.nowMs()));
    });
  }

  #stop(key: string): void {
    const held = this.#drop(key).heldByEntry();
    this.#context.handOver({ pool: key, held });
  }

  /** Stops leading; what waits here is asked anew elsewhere. */
  #drop(key: string): LeadPool {
    const led = this.#led.get(key)!;
    this.#led.delete(key);
    for (const output of led.stop()) {
      if (output.type === "moved") this.#resolve(output.attemptId, output);
    }
    this.#context.log.info("lead stopped", { pool: key });
    return led;
  }

  #step(poolKey: string, outputs: readonly LeadOutput[]): void {
    const info = this.#context.view.pools.get(poolKey);
    if (info) this.#take(info, outputs);
  }

  #take(info: PoolInfo, outputs: readonly LeadOutput[]): void {
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
