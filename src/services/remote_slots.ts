/**
 * Slots in other regions. A VM there, the host, acquires the slot from its own lead and holds it for the home VM, which
 * streams from the upstream directly. The home VM renews the slot; without renewals the host frees it.
 *
 * @module
 */

import type { Transport } from "../adapters/mod.ts";
import { type Clock, failure, rendezvous } from "../base/mod.ts";
import type { SlotAnswer, SlotReport, SlotRequest } from "../decisions/mod.ts";
import type { TaskPort } from "../kernel/mod.ts";
import type { MembersMessages, TableMessages, VmInfo } from "./messages.ts";

/** The host frees a slot that was not renewed for this long: the home VM is gone, or the link to it is cut. */
export const HOST_LEASE_MS = 6000;
/** The number of hosts that are tried. It is small so that a request does not spend its time on failing calls. */
const MAX_HOST_TRIES = 2;
/** A host whose table is older than the home VM's waits this long to catch up, and then refuses. */
const MAX_CATCH_UP_MS = 500;
/** The extra time after the deadline for the remote region's answer to arrive. */
const ANSWER_GRACE_MS = 500;

const HOST_METHODS = {
  acquire: "slots.host",
  renew: "slots.hostRenew",
  report: "slots.hostReport",
  cancel: "slots.hostCancel",
} as const;

/** The messages from a home VM to a host. */
interface HostAcquireMessage {
  readonly request: SlotRequest;
}
interface HostRenewMessage {
  readonly attemptIds: readonly string[];
}
interface HostReportMessage {
  readonly report: SlotReport;
}
interface HostCancelMessage {
  readonly attemptId: string;
}

/** The dependencies of both sides. */
export interface RemoteSlotsContext {
  readonly clock: Clock;
  readonly region: string;
  readonly transport: Transport;
  readonly members: TaskPort<MembersMessages>;
  readonly table: TaskPort<TableMessages>;
}

/** The home VM's side: acquires, renews, reports and cancels slots at hosts. */
export class RemoteSlotsClient {
  readonly #context: RemoteSlotsContext;
  /** The host of each attempt whose slot is requested or held. */
  readonly #hosts = new Map<string, VmInfo>();

  constructor(context: RemoteSlotsContext) {
    this.#context = context;
  }

  get heldCount(): number {
    return this.#hosts.size;
  }

  /** Asks for a slot in `region`. Returns `undefined` if that region grants none, for whatever reason. */
  async acquire(
    region: string,
    request: SlotRequest,
  ): Promise<SlotAnswer | undefined> {
    const others = await this.#context.members.ask("others", undefined);
    const live = (others.get(region) ?? []).filter((vm) => vm.state === "live");
    const hosts = rendezvous(request.workspace, live, (vm) => vm.id);
    for (const vm of hosts.slice(0, MAX_HOST_TRIES)) {
      const answer = await this.#requestSlot(vm, request);
      if (answer) return answer.type === "grant" ? answer : undefined;
    }
    return undefined;
  }

  /** Sends the report to the attempt's host. Returns false if the attempt has no host. */
  report(report: SlotReport): boolean {
    const host = this.#hosts.get(report.attemptId);
    if (!host) return false;
    if (report.outcome !== "started") this.#hosts.delete(report.attemptId);
    this.#context.transport.notify(
      host.peerAddress,
      HOST_METHODS.report,
      { report } satisfies HostReportMessage,
    );
    return true;
  }

  /** Cancels the attempt at its host. Returns false if the attempt has no host. */
  cancel(attemptId: string): boolean {
    const host = this.#hosts.get(attemptId);
    if (!host) return false;
    this.#hosts.delete(attemptId);
    this.#context.transport.notify(
      host.peerAddress,
      HOST_METHODS.cancel,
      { attemptId } satisfies HostCancelMessage,
    );
    return true;
  }

  /** Renews the slots that hosts hold, with one message per host. */
  renewAll(): void {
    const byAddress = new Map<string, string[]>();
    for (const [attemptId, host] of this.#hosts) {
      const ids = byAddress.get(host.peerAddress) ?? [];
      ids.push(attemptId);
      byAddress.set(host.peerAddress, ids);
    }
    for (const [address, attemptIds] of byAddress) {
      this.#context.transport.notify(
        address,
        HOST_METHODS.renew,
        { attemptIds } satisfies HostRenewMessage,
      );
    }
  }

  /** Returns the host's answer, or `undefined` if none arrived, so that another host may be asked. */
  async #requestSlot(
    vm: VmInfo,
    request: SlotRequest,
  ): Promise<SlotAnswer | undefined> {
    const { transport, region } = this.#context;
    this.#hosts.set(request.attemptId, vm);
    const message: HostAcquireMessage = {
      request: { ...request, sentFrom: region },
    };
    const deadlineMs = request.deadlineMs + ANSWER_GRACE_MS;
    const result = await transport.call(
      vm.peerAddress,
      HOST_METHODS.acquire,
      message,
      deadlineMs,
    );
    const answer = result.isOk() ? result.value as SlotAnswer : undefined;
    const isStillWanted = this.#hosts.has(request.attemptId);
    if (answer?.type === "grant" && isStillWanted) return answer;
    this.cancel(request.attemptId);
    return answer;
  }
}

/** The calls from the host's side to the leads of its own region. */
export interface LocalSlots {
  acquire(request: SlotRequest): Promise<SlotAnswer>;
  report(report: SlotReport): void;
  cancel(attemptId: string): void;
}

/** The host's side: holds slots of its own region for home VMs of other regions. */
export class RemoteSlotsHost {
  readonly #context: RemoteSlotsContext;
  readonly #localSlots: LocalSlots;
  readonly #leaseUntilMs = new Map<string, number>();

  constructor(context: RemoteSlotsContext, slots: LocalSlots) {
    this.#context = context;
    this.#localSlots = slots;
  }

  get hostedCount(): number {
    return this.#leaseUntilMs.size;
  }

  /** Registers the handlers of the messages from other regions' VMs. */
  listen(): void {
    const { transport } = this.#context;
    transport.handle(
      HOST_METHODS.acquire,
      (p) => this.#acquire((p as HostAcquireMessage).request),
    );
    transport.handle(
      HOST_METHODS.renew,
      (p) => this.#renew((p as HostRenewMessage).attemptIds),
    );
    transport.handle(
      HOST_METHODS.report,
      (p) => this.#report((p as HostReportMessage).report),
    );
    transport.handle(
      HOST_METHODS.cancel,
      (p) => this.#cancel((p as HostCancelMessage).attemptId),
    );
  }

  /**
   * Frees slots that are not renewed. A home VM that died, or whose link is cut, cannot report the end of its attempts.
   * Without this, its slots would stay taken forever and each partition would reduce the region's capacity.
   */
  sweep(): void {
    const nowMs = this.#context.clock.nowMs();
    for (const [attemptId, untilMs] of this.#leaseUntilMs) {
      if (untilMs < nowMs) this.#cancel(attemptId);
    }
  }

  /**
   * Acquires a slot for a home VM. A request is moved to another region only once, and is decided on the newer of the
   * two tables: an edit that forbids the move may have reached only the home VM or only the host.
   */
  async #acquire(request: SlotRequest): Promise<SlotAnswer> {
    const { clock, table } = this.#context;
    if (request.sentFrom === undefined) {
      return refuse(
        clock.nowMs(),
        "the request names no region it comes from",
      );
    }
    const deadlineMs = Math.min(
      request.deadlineMs,
      clock.nowMs() + MAX_CATCH_UP_MS,
    );
    const tableInForce = await table.ask("waitFor", {
      version: request.tableVersion,
      deadlineMs,
    });
    if (!tableInForce) {
      return refuse(
        clock.nowMs(),
        "this region does not have the table's version yet",
      );
    }
    this.#leaseUntilMs.set(
      request.attemptId,
      request.deadlineMs + HOST_LEASE_MS,
    );
    const answer = await this.#localSlots.acquire(request);
    const isWanted = this.#leaseUntilMs.has(request.attemptId);
    if (answer.type !== "grant") {
      this.#leaseUntilMs.delete(request.attemptId);
      return answer;
    }
    if (isWanted) {
      this.#leaseUntilMs.set(request.attemptId, clock.nowMs() + HOST_LEASE_MS);
    } else this.#localSlots.cancel(request.attemptId);
    return answer;
  }

  #renew(attemptIds: readonly string[]): void {
    const untilMs = this.#context.clock.nowMs() + HOST_LEASE_MS;
    for (const id of attemptIds) {
      if (this.#leaseUntilMs.has(id)) this.#leaseUntilMs.set(id, untilMs);
    }
  }

  #report(report: SlotReport): void {
    if (!this.#leaseUntilMs.has(report.attemptId)) return;
    if (report.outcome !== "started") {
      this.#leaseUntilMs.delete(report.attemptId);
    }
    this.#localSlots.report(report);
  }

  #cancel(attemptId: string): void {
    if (this.#leaseUntilMs.delete(attemptId)) {
      this.#localSlots.cancel(attemptId);
    }
  }
}

function refuse(nowMs: number, message: string): SlotAnswer {
  return {
    type: "refuse",
    failure: failure("receiverRefused", { message, retryAtMs: nowMs + 1000 }),
  };
}
