/**
 * The claims service: records a call that must run at most once before its first byte goes to an upstream.
 *
 * A claim belongs to a shard in its workspace's home region. One VM there owns the shard; other VMs forward claims to
 * it. If the owner cannot be reached, the claim is refused at once, and the refusal says that the call was not run.
 *
 * @module
 */

import { err, ok } from "neverthrow";
import type { KeyValue, Transport } from "../adapters/mod.ts";
import {
  bodyDigest,
  type ClaimChange,
  type ClaimKey,
  type ClaimVerdict,
  DEFAULT_SHARD_LIMITS,
  keyDigest,
  type ReplicaMessage,
  sameVm,
  type ShardLimits,
  type ShardReply,
  type Table,
  type VmRef,
} from "../agreement/mod.ts";
import {
  backoffMs,
  type Clock,
  failure,
  Random,
  rendezvous,
  type Timer,
} from "../base/mod.ts";
import {
  type Handlers,
  type Kernel,
  Task,
  type TaskPort,
} from "../kernel/mod.ts";
import { ClaimsDriver, type DriverRequest } from "./claims_driver.ts";
import { ClaimsRouter, type RouteResult } from "./claims_router.ts";
import { toVmRef, WitnessList } from "./claims_witnesses.ts";
import {
  askMessage,
  changeMessage,
  claimsMethod,
  lookupMessage,
  replicateMessage,
  toWire,
  type WireReply,
} from "./claims_wire.ts";
import type {
  ClaimsMessages,
  MembersMessages,
  TableMessages,
  VmInfo,
} from "./messages.ts";

const TICK_MS = 20;
const VIEW_REFRESH_MS = 250;
/** `finish`, `release` and `abandon` block the caller for at most this long, then continue in the background. */
const CHANGE_TIMEOUT_MS = 2000;
/** Maximum number of attempts to make a change in the background. */
const MAX_CHANGE_RETRIES = 12;
/** Maximum number of changes that are retried in the background at the same time. */
const MAX_BACKGROUND_CHANGES = 500;
const CHANGE_BACKOFF = { firstMs: 250, maxMs: 10_000 };
const LOOKUP_TIMEOUT_MS = 3000;
const REPLICATE_TIMEOUT_MS = 1500;
/** Retry delay for a refused caller, unless the owner gives another. */
const RETRY_AFTER_MS = 1000;
/** Default limit for the store writes of claims per second, in all regions together. */
const WRITES_PER_S = 60;
/** A claim's deadline is this much before the caller's, so that a refusal still reaches the caller in time. */
const DEADLINE_MARGIN_MS = 50;

/** Options of {@link ClaimsService}. */
export interface ClaimsOptions {
  readonly me: VmRef;
  readonly region: string;
  readonly store: KeyValue;
  /** Absent where this VM is the only one. */
  readonly transport?: Transport;
  readonly members?: TaskPort<MembersMessages>;
  /** Gives each workspace's home region. Without it the home of every workspace is this region. */
  readonly table?: TaskPort<TableMessages>;
  readonly limits?: Partial<ShardLimits>;
  /** Limit for the store writes of claims per second, in all regions together. */
  readonly writesPerS?: number;
  readonly seed?: number;
}

/** Routes claims, changes and lookups to the owners of their shards, and runs this VM's role in each shard. */
export class ClaimsService extends Task<ClaimsMessages> {
  readonly name = "claims";
  readonly #options: ClaimsOptions;
  readonly #limits: ShardLimits;
  readonly #random: Random;
  readonly #drivers: ClaimsDriver[] = [];
  readonly #witnesses: WitnessList[] = [];
  readonly #timers: Timer[] = [];
  #router!: ClaimsRouter;
  #clock!: Clock;
  /** VMs of this region. */
  #local: readonly VmInfo[] = [];
  #remote: ReadonlyMap<string, readonly VmInfo[]> = new Map();
  #table: Table | undefined;
  #nextClaim = 0;
  /** Changes that are retried in the background now. */
  #backgroundChanges = 0;
  #closed = false;

  protected readonly handlers: Handlers<ClaimsMessages> = {
    claim: (input) => this.#claim(input),
    finish: (input) =>
      this.#change(input, { state: "finished", answer: input.answer }),
    release: (input) => this.#change(input, { state: "released" }),
    abandon: (input) => this.#change(input, { state: "abandoned" }),
    lookup: (input) => this.#lookup(input),
  };

  constructor(options: ClaimsOptions) {
    super();
    this.#options = options;
    this.#limits = { ...DEFAULT_SHARD_LIMITS, ...options.limits };
    this.#random = new Random(options.seed ?? options.me.incarnation);
  }

  async start(kernel: Kernel): Promise<void> {
    const { me, region, store, transport } = this.#options;
    this.#clock = kernel.clock;
    for (let shard = 0; shard < this.#limits.shardCount; shard++) {
      this.#witnesses.push(new WitnessList());
      this.#drivers.push(
        new ClaimsDriver({
          me,
          region,
          shard,
          limits: this.#limits,
          store,
          clock: this.#clock,
          random: this.#random,
          log: kernel.log,
          replicate: (to, message) => this.#replicate(shard, to, message),
        }),
      );
    }
    this.#router = new ClaimsRouter({
      me,
      region,
      clock: this.#clock,
      transport,
      drivers: this.#drivers,
      members: () => ({ local: this.#local, remote: this.#remote }),
    });
    if (transport) this.#registerHandlers(transport);
    await this.#refreshView();
    this.#timers.push(
      this.#clock.every(VIEW_REFRESH_MS, () => void this.#refreshView()),
      this.#clock.every(TICK_MS, () => this.#tick()),
    );
    this.#tick();
  }

  /** Hands over the shards owned here, so that the next owner can start without waiting for a timeout. */
  async close(deadlineMs: number): Promise<void> {
    for (const driver of this.#drivers) driver.stop();
    while (
      this.#drivers.some((driver) => !driver.isStopped) &&
      this.#clock.nowMs() < deadlineMs
    ) {
      await this.#clock.sleep(TICK_MS);
    }
    this.#closed = true;
    for (const timer of this.#timers) timer.close();
    this.#router.close();
    for (const driver of this.#drivers) driver.close();
  }

  dump(): unknown {
    return {
      me: this.#options.me,
      shards: this.#drivers.map((driver) => driver.state()),
      stepsBehind: this.#backgroundChanges,
      storeCalls: this.#options.store.counts().claims,
    };
  }

  async #claim(
    input: ClaimsMessages["claim"]["in"],
  ): Promise<ClaimVerdict> {
    const key = keyDigest(input);
    const claimId = this.#newClaimId();
    const home = await this.#homeOf(input.workspace);
    const ask = {
      key,
      body: bodyDigest(input.bodyDigest),
      claimId,
      claimer: { ...this.#options.me, region: this.#options.region },
      deadlineMs: input.deadlineMs - DEADLINE_MARGIN_MS,
    };
    const routed = await this.#router.send(home, { type: "ask", ask }, false);
    const verdict = this.#verdictOf(routed);
    // If only the owner's answer was lost, the claim may be recorded. It is released, so that the caller can retry.
    if (routed.type === "none" && routed.sent) {
      void this.#changeInBackground(home, { key, claimId, state: "released" });
    }
    return verdict;
  }

  #verdictOf(routed: RouteResult): ClaimVerdict {
    if (routed.type === "none") return this.#refuse();
    const { reply } = routed;
    switch (reply.type) {
      case "granted":
      case "answered":
        return reply;
      case "running":
      case "unknown":
      case "mismatch":
        return { type: reply.type };
      case "unavailable":
        return this.#refuse(reply.retryAtMs);
      default:
        return this.#refuse();
    }
  }

  #refuse(retryAtMs = this.#clock.nowMs() + RETRY_AFTER_MS): ClaimVerdict {
    return {
      type: "refused",
      failure: failure("claimUnavailable", { retryAtMs }),
    };
  }

  /** Changes a claim's state. If the first attempt fails, the caller is answered and retries run in the background. */
  async #change(
    input: ClaimKey & { readonly claimId: string },
    newState: Pick<ClaimChange, "state" | "answer">,
  ): Promise<void> {
    const home = await this.#homeOf(input.workspace);
    const change = {
      key: keyDigest(input),
      claimId: input.claimId,
      ...newState,
    };
    if (await this.#tryChange(home, change)) return;
    void this.#changeInBackground(home, change);
  }

  async #tryChange(home: string, change: ClaimChange): Promise<boolean> {
    const deadlineMs = this.#clock.nowMs() + CHANGE_TIMEOUT_MS;
    const request = { type: "change", change, deadlineMs } as const;
    const routed = await this.#router.send(home, request, false);
    return routed.type === "reply" && routed.reply.type === "done";
  }

  async #changeInBackground(home: string, change: ClaimChange): Promise<void> {
    // Retries for all calls of a long outage would overload the store; further claims stay "running" or "unknown".
    if (this.#backgroundChanges >= MAX_BACKGROUND_CHANGES) return;
    this.#backgroundChanges++;
    await this.#retryChange(home, change);
    this.#backgroundChanges--;
  }

  async #retryChange(home: string, change: ClaimChange): Promise<void> {
    for (let attempt = 0; attempt < MAX_CHANGE_RETRIES; attempt++) {
      const waitMs = backoffMs(attempt, CHANGE_BACKOFF, this.#random);
      await this.#clock.sleep(waitMs);
      if (this.#closed || await this.#tryChange(home, change)) return;
    }
  }

  async #lookup(key: ClaimKey): Promise<ClaimsMessages["lookup"]["out"]> {
    const routed = await this.#router.send(await this.#homeOf(key.workspace), {
      type: "lookup",
      key: keyDigest(key),
      deadlineMs: this.#clock.nowMs() + LOOKUP_TIMEOUT_MS,
    }, false);
    const reply = routed.type === "reply" ? routed.reply : undefined;
    switch (reply?.type) {
      case "none":
      case "running":
      case "unknown":
        return ok(reply.type);
      case "answered":
        return ok({ answer: reply.answer });
    }
    const retryAtMs = this.#clock.nowMs() + RETRY_AFTER_MS;
    const message = "the record of this key cannot be read now";
    // Whether the call ran is unknown here, so the answer must not say "not run".
    return err(
      failure("claimUnavailable", { ran: "unknown", message, retryAtMs }),
    );
  }

  #registerHandlers(transport: Transport): void {
    const answer = async (
      region: string,
      relayed: boolean,
      request: DriverRequest,
    ): Promise<WireReply> => {
      const routed = await this.#answerPeer(region, relayed, request);
      return toWire(routed, this.#clock.monoMs());
    };
    transport.handle(claimsMethod.ask, (params) => {
      const { region, relayed, ask } = askMessage.parse(params);
      return answer(region, relayed, { type: "ask", ask });
    });
    transport.handle(claimsMethod.change, (params) => {
      const { region, relayed, ...rest } = changeMessage.parse(params);
      return answer(region, relayed, { type: "change", ...rest });
    });
    transport.handle(claimsMethod.lookup, (params) => {
      const { region, relayed, ...rest } = lookupMessage.parse(params);
      return answer(region, relayed, { type: "lookup", ...rest });
    });
    transport.handle(claimsMethod.replicate, (params) => {
      const { shard, to, message } = replicateMessage.parse(params);
      const driver = this.#drivers[shard];
      if (!driver || !sameVm(to, this.#options.me)) return { accepted: false };
      return driver.acceptReplica(message);
    });
  }

  /** Answers a request of another VM from this VM's shard. A relayed request is sent to the shard's owner. */
  async #answerPeer(
    region: string,
    relayed: boolean,
    request: DriverRequest,
  ): Promise<ShardReply> {
    if (region !== this.#options.region) return { type: "notOwner" };
    if (!relayed) return await this.#router.answerLocally(request);
    const routed = await this.#router.send(region, request, true);
    return routed.type === "reply" ? routed.reply : { type: "notOwner" };
  }

  async #replicate(
    shard: number,
    to: VmRef,
    message: ReplicaMessage,
  ): Promise<boolean> {
    const vm = this.#local.find((info) => sameVm(info, to));
    const { transport } = this.#options;
    if (!vm || !transport) return false;
    const answer = await transport.call(
      vm.peerAddress,
      claimsMethod.replicate,
      { shard, to, message },
      this.#clock.nowMs() + REPLICATE_TIMEOUT_MS,
    );
    return answer.isOk() &&
      (answer.value as { accepted?: unknown })?.accepted === true;
  }

  #tick(): void {
    for (const driver of this.#drivers) driver.tick();
  }

  async #refreshView(): Promise<void> {
    const { members, table, me } = this.#options;
    if (members) {
      this.#local = await members.ask("region", undefined);
      this.#remote = await members.ask("others", undefined);
    }
    if (table) this.#table = await table.ask("current", undefined);
    const live = this.#local.filter((vm) => !sameVm(vm, me));
    const shards = Math.max(
      1,
      this.#limits.shardCount * (this.#remote.size + 1),
    );
    const writesPerS = (this.#options.writesPerS ?? WRITES_PER_S) / shards;
    this.#drivers.forEach((driver, shard) => {
      const order = rendezvous(
        `claims/${this.#options.region}/${shard}`,
        [me, ...live.filter((vm) => vm.state === "live")],
        (vm) => `${vm.id}/${vm.incarnation}`,
      );
      driver.setView({
        region: this.#options.region,
        live: live.map(toVmRef),
        witnesses: this.#witnesses[shard]
          .choose(me, order, this.#local, this.#clock.monoMs()),
        rank: order.findIndex((vm) => sameVm(vm, me)),
        writesPerS,
      });
    });
  }

  async #homeOf(workspace: string): Promise<string> {
    const table = this.#table ??
      await this.#options.table?.ask("current", undefined);
    return table?.workspace(workspace)?.home ?? this.#options.region;
  }

  #newClaimId(): string {
    const { id, incarnation } = this.#options.me;
    return `${id}.${incarnation}.${this.#nextClaim++}`;
  }
}
