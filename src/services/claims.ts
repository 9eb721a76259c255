/**
 * The claims service: a call that may not be repeated is recorded before its first byte goes to an upstream.
 *
 * A claim's shard lies in its workspace's home region, on one owner VM there; claims that arrive elsewhere are sent to
 * it. Where the owner can't be had the caller is told at once, and truthfully, that its call was not run.
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
/** How long `finish`, `release` and `abandon` are tried for while the caller waits; then they go on behind. */
const CHANGE_TIMEOUT_MS = 2000;
/** How long a step is tried for behind the caller's back. */
const MAX_CHANGE_RETRIES = 12;
/** Most steps that are tried for at the same time behind their callers' backs. */
const MAX_BACKGROUND_CHANGES = 500;
const CHANGE_BACKOFF = { firstMs: 250, maxMs: 10_000 };
const LOOKUP_TIMEOUT_MS = 3000;
const REPLICATE_TIMEOUT_MS = 1500;
/** When a caller may come back whose claim found no owner. */
const RETRY_AFTER_MS = 1000;
/** Claims take at most this many writes a second in all regions together, unless the settings say otherwise. */
const WRITES_PER_S = 60;
/** Kept back from a caller's deadline, so that the refusal still reaches it. */
const DEADLINE_MARGIN_MS = 50;

/** What a {@link ClaimsService} works with. */
export interface ClaimsOptions {
  readonly me: VmRef;
  readonly region: string;
  readonly store: KeyValue;
  /** Absent where this VM is the only one. */
  readonly transport?: Transport;
  readonly members?: TaskPort<MembersMessages>;
  /** Says each workspace's home; without it every workspace is at home here. */
  readonly table?: TaskPort<TableMessages>;
  readonly limits?: Partial<ShardLimits>;
  /** Writes a second that the claims of all regions may take together. */
  readonly writesPerS?: number;
  readonly seed?: number;
}

/** See the module's comment. */
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
  #local: readonly VmInfo[] = [];
  #remote: ReadonlyMap<string, readonly VmInfo[]> = new Map();
  #table: Table | undefined;
  #nextClaim = 0;
  /** Steps that are tried for behind their callers' backs. */
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

  /** Hands over the shards owned here, so that the next owner need not wait. */
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
    // An owner whose answer was lost may have recorded it; the key must be free again for the caller's next try.
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

  /** Takes a step of a claim. The caller waits while it is tried for some time; after that it goes on behind. */
  async #change(
    input: ClaimKey & { readonly claimId: string },
    step: Pick<ClaimChange, "state" | "answer">,
  ): Promise<void> {
    const home = await this.#homeOf(input.workspace);
    const change = {
      key: keyDigest(input),
      claimId: input.claimId,
      ...step,
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
    // In an outage of many calls the steps themselves would become a load: the rest is left "running" or "unknown".
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
    // Nothing is known of the call itself, so "not run" would be a guess.
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

  /** A request of another VM: answered here, or, if it came from another region, sent on to this region's owner. */
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
