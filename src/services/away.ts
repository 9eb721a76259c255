/**
 * Requests sent to another region. A VM there, the host, acquires the slot from its own lead and holds it for the home
 * VM, which streams from the upstream directly. The home VM's renewals keep the slot; without them the host frees it.
 *
 * @module
 */

import type { Transport } from "../adapters/mod.ts";
import { type Clock, failure, rendezvous } from "../base/mod.ts";
import type { SlotAnswer, SlotReport, SlotRequest } from "../decisions/mod.ts";
import type { TaskPort } from "../kernel/mod.ts";
import type { MembersMessages, TableMessages, VmInfo } from "./messages.ts";

/** The host frees a slot that was not renewed for this long: the home VM is gone, or the link is. */
export const HOST_LEASE_MS = 6000;
/** VMs of the far region that are tried; a request must not spend its time on knocking at doors. */
const HOST_TRIES = 2;
/** A host that is behind the home's table version waits this long to catch up, then refuses. */
const CATCH_UP_MS = 500;
/** The far region's answer needs this much more than the deadline to come back. */
const ANSWER_GRACE_MS = 500;

const hostMethod = {
  acquire: "slots.host",
  renew: "slots.hostRenew",
  report: "slots.hostReport",
  cancel: "slots.hostCancel",
} as const;

/** What a VM asks of a host, and tells it afterwards. */
interface HostAcquire {
  readonly request: SlotRequest;
}
interface HostRenew {
  readonly attemptIds: readonly string[];
}
interface HostReport {
  readonly report: SlotReport;
}
interface HostCancel {
  readonly attemptId: string;
}

/** What both ends need of their task. */
export interface AwayContext {
  readonly clock: Clock;
  readonly region: string;
  readonly transport: Transport;
  readonly members: TaskPort<MembersMessages>;
  readonly table: TaskPort<TableMessages>;
}

/** The home VM's end. */
export class AwayClient {
  readonly #context: AwayContext;
  /** The host of each attempt that is asked for or held. */
  readonly #hosts = new Map<string, VmInfo>();

  constructor(context: AwayContext) {
    this.#context = context;
  }

  get holding(): number {
    return this.#hosts.size;
  }

  /** Asks for a slot in `region`; `undefined` if that region gives none, for whatever reason. */
  async acquire(
    region: string,
    request: SlotRequest,
  ): Promise<SlotAnswer | undefined> {
    const others = await this.#context.members.ask("others", undefined);
    const live = (others.get(region) ?? []).filter((vm) => vm.state === "live");
    const order = rendezvous(request.workspace, live, (vm) => vm.id);
    for (const vm of order.slice(0, HOST_TRIES)) {
      const answer = await this.#ask(vm, request);
      if (answer) return answer.type === "grant" ? answer : undefined;
    }
    return undefined;
  }

  /** Whether the attempt was sent away; tells its host. */
  report(report: SlotReport): boolean {
    const host = this.#hosts.get(report.attemptId);
    if (!host) return false;
    if (report.outcome !== "started") this.#hosts.delete(report.attemptId);
    this.#context.transport.notify(
      host.peerAddress,
      hostMethod.report,
      { report } satisfies HostReport,
    );
    return true;
  }

  /** Whether the attempt was sent away; gives it up. */
  cancel(attemptId: string): boolean {
    const host = this.#hosts.get(attemptId);
    if (!host) return false;
    this.#hosts.delete(attemptId);
    this.#context.transport.notify(
      host.peerAddress,
      hostMethod.cancel,
      { attemptId } satisfies HostCancel,
    );
    return true;
  }

  /** Renews what hosts hold, one message to each. */
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
        hostMethod.renew,
        { attemptIds } satisfies HostRenew,
      );
    }
  }

  /** The host's answer; `undefined` if it did not come, so that another host may be asked. */
  async #ask(
    vm: VmInfo,
    request: SlotRequest,
  ): Promise<SlotAnswer | undefined> {
    const { transport, region } = this.#context;
    this.#hosts.set(request.attemptId, vm);
    const message: HostAcquire = { request: { ...request, sentFrom: region } };
    const deadlineMs = request.deadlineMs + ANSWER_GRACE_MS;
    const result = await transport.call(
      vm.peerAddress,
      hostMethod.acquire,
      message,
      deadlineMs,
    );
    const answer = result.isOk() ? result.value as SlotAnswer : undefined;
    const stillWanted = this.#hosts.has(request.attemptId);
    if (answer?.type === "grant" && stillWanted) return answer;
    this.cancel(request.attemptId);
    return answer;
  }
}

/** What the host's end does with its own region's leads. */
export interface HostSlots {
  acquire(request: SlotRequest): Promise<SlotAnswer>;
  report(report: SlotReport): void;
  cancel(attemptId: string): void;
}

/** The host's end. */
export class AwayHost {
  readonly #context: AwayContext;
  readonly #slots: HostSlots;
  readonly #leases = new Map<string, number>();

  constructor(context: AwayContext, slots: HostSlots) {
    this.#context = context;
    this.#slots = slots;
  }

  get hosting(): number {
    return this.#leases.size;
  }

  /** Registers the messages of other regions' VMs. */
  listen(): void {
    const { transport } = this.#context;
    transport.handle(
      hostMethod.acquire,
      (p) => this.#acquire((p as HostAcquire).request),
    );
    transport.handle(
      hostMethod.renew,
      (p) => this.#renew((p as HostRenew).attemptIds),
    );
    transport.handle(
      hostMethod.report,
      (p) => this.#report((p as HostReport).report),
    );
    transport.handle(
      hostMethod.cancel,
      (p) => this.#cancel((p as HostCancel).attemptId),
    );
  }

  /**
   * Frees what is not renewed. A home VM that died, or whose link was cut, cannot report: without this its slots would
   * stay taken for ever, and the region would shrink by each partition.
   */
  sweep(): void {
    const nowMs = this.#context.clock.nowMs();
    for (const [attemptId, untilMs] of this.#leases) {
      if (untilMs < nowMs) this.#cancel(attemptId);
    }
  }

  /**
   * A request moves once and is decided on the newer of both tables: an edit that forbids the move may have reached only
   * the home, or only the host.
   */
  async #acquire(request: SlotRequest): Promise<SlotAnswer> {
    const { clock, table } = this.#context;
    if (request.sentFrom === undefined) {
      return refused(
        clock.nowMs(),
        "the request names no region it comes from",
      );
    }
    const deadlineMs = Math.min(
      request.deadlineMs,
      clock.nowMs() + CATCH_UP_MS,
    );
    const inForce = await table.ask("waitFor", {
      version: request.tableVersion,
      deadlineMs,
    });
    if (!inForce) {
      return refused(
        clock.nowMs(),
        "this region does not have the table's version yet",
      );
    }
    this.#leases.set(request.attemptId, request.deadlineMs + HOST_LEASE_MS);
    const answer = await this.#slots.acquire(request);
    const wanted = this.#leases.has(request.attemptId);
    if (answer.type !== "grant") {
      this.#leases.delete(request.attemptId);
      return answer;
    }
    if (wanted) {
      this.#leases.set(request.attemptId, clock.nowMs() + HOST_LEASE_MS);
    } else this.#slots.cancel(request.attemptId);
    return answer;
  }

  #renew(attemptIds: readonly string[]): void {
    const untilMs = this.#context.clock.nowMs() + HOST_LEASE_MS;
    for (const id of attemptIds) {
      if (this.#leases.has(id)) this.#leases.set(id, untilMs);
    }
  }

  #report(report: SlotReport): void {
    if (!this.#leases.has(report.attemptId)) return;
    if (report.outcome !== "started") this.#leases.delete(report.attemptId);
    this.#slots.report(report);
  }

  #cancel(attemptId: string): void {
    if (this.#leases.delete(attemptId)) this.#slots.cancel(attemptId);
  }
}

function refused(nowMs: number, message: string): SlotAnswer {
  return {
    type: "refuse",
    failure: failure("receiverRefused", { message, retryAtMs: nowMs + 1000 }),
  };
}
