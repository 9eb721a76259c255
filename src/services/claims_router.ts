/**
 * Finds the owner of a claim's shard, on this VM or another, and sends it requests until it answers or the deadline is
 * near.
 *
 * @module
 */

import type { z } from "zod";
import type { Transport } from "../adapters/mod.ts";
import {
  sameVm,
  shardOf,
  type ShardReply,
  type VmRef,
} from "../agreement/mod.ts";
import type { Clock } from "../base/mod.ts";
import type { ClaimsDriver, DriverRequest } from "./claims_driver.ts";
import {
  type askMessage,
  type changeMessage,
  claimsMethod,
  fromWire,
  type lookupMessage,
  wireReply,
} from "./claims_wire.ts";
import type { VmInfo } from "./messages.ts";

/** Delay between attempts while no owner is found, because a takeover is in progress. */
const OWNER_RETRY_MS = 100;
/** The search for an owner ends after this time; a dead owner is detected and replaced well before. */
const OWNER_TIMEOUT_MS = 6000;
/** Maximum number of VMs that are tried in turn as relays to an owner. */
const MAX_RELAYS = 2;
/** Timeout of one call to another VM. During a store outage an owner may take some seconds to answer a claim. */
const CALL_TIMEOUT_MS = 8000;

/** The result of a request: a reply, or none that settles it. `sent` says whether an owner may have received it. */
export type RouteResult =
  | { readonly type: "reply"; readonly reply: ShardReply }
  | { readonly type: "none"; readonly sent: boolean };

/** Options of {@link ClaimsRouter}. */
export interface ClaimsRouterOptions {
  readonly me: VmRef;
  readonly region: string;
  readonly clock: Clock;
  readonly transport: Transport | undefined;
  readonly drivers: readonly ClaimsDriver[];
  /** The VMs of this region, and a few VMs of each remote region. */
  readonly members: () => {
    readonly local: readonly VmInfo[];
    readonly remote: ReadonlyMap<string, readonly VmInfo[]>;
  };
}

/** Sends requests to the owners of their shards, if necessary through other VMs. */
export class ClaimsRouter {
  readonly #options: ClaimsRouterOptions;
  #closed = false;

  constructor(options: ClaimsRouterOptions) {
    this.#options = options;
  }

  close(): void {
    this.#closed = true;
  }

  /** Sends a request to the owner in `region`. A relayed request came from another VM and is not relayed again. */
  async send(
    region: string,
    request: DriverRequest,
    relayed: boolean,
  ): Promise<RouteResult> {
    if (region === this.#options.region) {
      return await this.#sendToOwner(request, !relayed);
    }
    if (relayed) return { type: "none", sent: false };
    return await this.#relay(region, request);
  }

  /** Answers from this VM's own shard, without asking other VMs. */
  async answerLocally(request: DriverRequest): Promise<ShardReply> {
    return await this.#driverOf(request).send(request);
  }

  #driverOf(request: DriverRequest): ClaimsDriver {
    const { drivers } = this.#options;
    return drivers[shardOf(keyOf(request), drivers.length)];
  }

  async #sendToOwner(
    request: DriverRequest,
    mayRelay: boolean,
  ): Promise<RouteResult> {
    const { clock } = this.#options;
    const driver = this.#driverOf(request);
    const untilMs = Math.min(
      deadlineOf(request),
      clock.nowMs() + OWNER_TIMEOUT_MS,
    );
    let ownerHint: VmRef | undefined;
    let sent = false;
    while (!this.#closed) {
      const routed = driver.isOwner
        ? { type: "reply" as const, reply: await driver.send(request) }
        : await this.#callOwner(ownerHint ?? driver.owner, request, mayRelay);
      ownerHint = undefined;
      if (routed.type === "none") sent ||= routed.sent;
      else if (routed.reply.type !== "notOwner") return routed;
      else {
        ownerHint = routed.reply.owner;
        // An owner that loses the shard while a request waits names no new owner. Its last write may have taken effect.
        sent ||= ownerHint === undefined;
        driver.recheck();
      }
      if (clock.nowMs() + OWNER_RETRY_MS >= untilMs) break;
      await clock.sleep(OWNER_RETRY_MS);
    }
    return { type: "none", sent };
  }

  async #callOwner(
    owner: VmRef | undefined,
    request: DriverRequest,
    mayRelay: boolean,
  ): Promise<RouteResult> {
    const { me, region } = this.#options;
    const { local } = this.#options.members();
    const vm = local.find((info) => owner && sameVm(info, owner));
    if (vm && !sameVm(vm, me)) {
      return await this.#call(vm, region, request, false);
    }
    // The owner may be alive but visible only to other VMs of the region.
    const isUnseen = owner !== undefined && !sameVm(owner, me);
    return mayRelay && isUnseen
      ? await this.#relay(region, request)
      : { type: "none", sent: false };
  }

  /** Sends the request through other VMs of `region`, which may reach the owner. */
  async #relay(region: string, request: DriverRequest): Promise<RouteResult> {
    const { local, remote } = this.#options.members();
    const vms = region === this.#options.region
      ? local.filter((vm) => !sameVm(vm, this.#options.me))
      : remote.get(region) ?? [];
    let sent = false;
    for (const vm of vms.slice(0, MAX_RELAYS)) {
      const routed = await this.#call(vm, region, request, true);
      if (routed.type === "reply" && routed.reply.type !== "notOwner") {
        return routed;
      }
      sent ||= routed.type === "none" && routed.sent;
      if (this.#options.clock.nowMs() >= deadlineOf(request)) break;
    }
    return { type: "none", sent };
  }

  async #call(
    vm: VmInfo,
    region: string,
    request: DriverRequest,
    relayed: boolean,
  ): Promise<RouteResult> {
    const { transport, clock } = this.#options;
    if (!transport) return { type: "none", sent: false };
    const askedMonoMs = clock.monoMs();
    const untilMs = Math.min(
      deadlineOf(request),
      clock.nowMs() + CALL_TIMEOUT_MS,
    );
    const answer = await transport.call(
      vm.peerAddress,
      claimsMethod[request.type],
      toMessage(region, relayed, request),
      untilMs,
    );
    if (answer.isErr()) {
      return { type: "none", sent: answer.error.kind === "lost" };
    }
    const parsed = wireReply.safeParse(answer.value);
    if (!parsed.success) return { type: "none", sent: true };
    return { type: "reply", reply: fromWire(parsed.data, askedMonoMs) };
  }
}

function keyOf(request: DriverRequest): string {
  if (request.type === "ask") return request.ask.key;
  return request.type === "change" ? request.change.key : request.key;
}

function deadlineOf(request: DriverRequest): number {
  return request.type === "ask" ? request.ask.deadlineMs : request.deadlineMs;
}

function toMessage(region: string, relayed: boolean, request: DriverRequest):
  | z.infer<typeof askMessage>
  | z.infer<typeof changeMessage>
  | z.infer<typeof lookupMessage> {
  const { type: _type, ...rest } = request;
  return { region, relayed, ...rest } as z.infer<typeof askMessage>;
}
