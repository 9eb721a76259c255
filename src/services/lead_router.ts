/**
 * Carries a message to the lead of a pool: here, on the VM that leads by this one's view, or through one other VM where
 * the way there is cut or the views differ.
 *
 * @module
 */

import type { HeldDigest } from "../agreement/mod.ts";
import type { Transport } from "../adapters/mod.ts";
import type { Clock } from "../base/mod.ts";
import type { HeldSlot, SlotReport, SlotRequest } from "../decisions/mod.ts";
import type {
  AcquireMessage,
  AcquireReply,
  CancelMessage,
  HeldMessage,
  RenewMessage,
  RenewReply,
  ReportMessage,
  ToLead,
} from "./lead_messages.ts";
import type { LeadServer } from "./lead_server.ts";
import type { LeadView } from "./lead_view.ts";
import type { VmInfo } from "./messages.ts";

/** A lead answers at the request's deadline at the latest; the answer needs this much more to arrive. */
const ANSWER_GRACE_MS = 1000;
const RENEW_CALL_MS = 1000;
/**
 * A VM that could not be reached directly is tried last for this long. Behind a cut each try costs a handshake's
 * timeout, which every request would wait out before it is relayed.
 */
const AVOID_MS = 5000;

/** What a {@link LeadRouter} needs of its task. */
export interface LeadRouterContext {
  readonly clock: Clock;
  readonly view: LeadView;
  readonly server: LeadServer;
  /** Absent where the VM runs alone. */
  readonly transport: Transport | undefined;
  /** A call to this VM failed. */
  readonly suspect: (vmId: string) => void;
}

interface Waiting {
  readonly vmId: string;
  readonly abort: () => void;
}

/** See the module's comment. */
export class LeadRouter {
  readonly #context: LeadRouterContext;
  readonly #waiting = new Set<Waiting>();
  readonly #avoidUntilMs = new Map<string, number>();
  /** The VM that a pending attempt is asked at. */
  readonly #asked = new Map<string, VmInfo>();

  constructor(context: LeadRouterContext) {
    this.#context = context;
  }

  /** Registers the messages that other VMs send. */
  listen(heldOf: (message: HeldMessage) => HeldSlot[]): void {
    const { transport, server } = this.#context;
    if (!transport) return;
    transport.handle(
      "slots.acquire",
      (p) => this.#acquire(p as AcquireMessage),
    );
    transport.handle("slots.renew", (p) => this.#renew(p as RenewMessage));
    transport.handle("slots.report", (p) => {
      const message = p as ReportMessage;
      if (!this.#relay("slots.report", message)) server.report(message);
    });
    transport.handle("slots.cancel", (p) => this.#cancel(p as CancelMessage));
    transport.handle("slots.held", (p) => heldOf(p as HeldMessage));
    transport.handle(
      "slots.handover",
      (p) => server.handedOver(p as Parameters<LeadServer["handedOver"]>[0]),
    );
  }

  acquire(pool: string, request: SlotRequest): Promise<AcquireReply> {
    return this.#acquire({ ...this.#address(pool), request });
  }

  renew(
    pool: string,
    digest: HeldDigest,
    held?: readonly HeldSlot[],
  ): Promise<RenewReply | undefined> {
    return this.#renew({ ...this.#address(pool), digest, held });
  }

  report(pool: string, report: SlotReport): void {
    const message: ReportMessage = { ...this.#address(pool), report };
    if (this.#context.server.leads(pool)) this.#context.server.report(message);
    else this.#notifyLead("slots.report", message);
  }

  cancel(pool: string, attemptId: string): void {
    this.#cancel({ ...this.#address(pool), attemptId });
  }

  /**
   * Gives up calls to VMs that are gone. A frozen lead, or one behind a cut, keeps its connection and never answers; a
   * queued request would wait out its whole deadline for it.
   */
  vmsChanged(): void {
    for (const waiting of this.#waiting) {
      if (!this.#context.view.hasVm(waiting.vmId)) waiting.abort();
    }
  }

  #address(pool: string): ToLead {
    return { pool, entry: this.#context.view.self.id, relayed: false };
  }

  async #acquire(message: AcquireMessage): Promise<AcquireReply> {
    if (this.#context.server.leads(message.pool)) {
      return await this.#context.server.acquire(message);
    }
    const { attemptId, deadlineMs } = message.request;
    const reply = await this.#forward(
      "slots.acquire",
      message,
      deadlineMs + ANSWER_GRACE_MS,
      (vm) => this.#asked.set(attemptId, vm),
    );
    this.#asked.delete(attemptId);
    return reply as AcquireReply | undefined ?? { type: "moved" };
  }

  async #renew(message: RenewMessage): Promise<RenewReply> {
    if (this.#context.server.leads(message.pool)) {
      return this.#context.server.renew(message);
    }
    const deadlineMs = this.#context.clock.nowMs() + RENEW_CALL_MS;
    const reply = await this.#forward("slots.renew", message, deadlineMs);
    return reply as RenewReply | undefined ?? { type: "moved" };
  }

  /**
   * Calls the lead; where that fails, the next VM in order, which relays. A message that was relayed already goes no
   * further: two VMs with different views would hand it to each other for ever.
   */
  async #forward(
    method: string,
    message: ToLead,
    deadlineMs: number,
    onAsk: (vm: VmInfo) => void = () => {},
  ): Promise<unknown> {
    const { view } = this.#context;
    if (message.relayed) return undefined;
    const [lead, next] = view.order(message.pool);
    if (lead.id === view.self.id) return undefined;
    if (message.entry !== view.self.id) {
      const onwards = { ...message, relayed: true };
      onAsk(lead);
      return await this.#call(lead, method, onwards, deadlineMs);
    }
    const ways = next && next.id !== view.self.id ? [lead, next] : [lead];
    if (this.#isAvoided(lead.id)) ways.reverse();
    for (const vm of ways) {
      onAsk(vm);
      const reply = await this.#call(vm, method, message, deadlineMs);
      if (reply !== undefined) return reply;
    }
    return undefined;
  }

  #isAvoided(vmId: string): boolean {
    const untilMs = this.#avoidUntilMs.get(vmId);
    if (untilMs === undefined) return false;
    if (this.#context.clock.nowMs() < untilMs) return true;
    this.#avoidUntilMs.delete(vmId);
    return false;
  }

  async #call(
    vm: VmInfo,
    method: string,
    message: ToLead,
    deadlineMs: number,
  ): Promise<unknown> {
    const { transport, suspect } = this.#context;
    if (!transport) return undefined;
    let abort = () => {};
    const gone = new Promise<undefined>((resolve) => {
      abort = () => resolve(undefined);
    });
    const waiting = { vmId: vm.id, abort };
    this.#waiting.add(waiting);
    const call = transport.call(vm.peerAddress, method, message, deadlineMs);
    const result = await Promise.race([call, gone]);
    this.#waiting.delete(waiting);
    if (result === undefined) {
      this.#withdraw(vm, message);
      return undefined;
    }
    if (result.isOk()) return result.value;
    if (result.error.kind === "failed") return undefined;
    this.#avoidUntilMs.set(vm.id, this.#context.clock.nowMs() + AVOID_MS);
    suspect(vm.id);
    return undefined;
  }

  /**
   * A frozen lead finds the requests in its sockets when it wakes, long after their callers were served elsewhere, and
   * grants them slots that nobody uses; its own callers then wait for each of those to run out. The withdrawal lies in
   * the same connection right behind the request, so that whoever reads the one reads the other.
   */
  #withdraw(vm: VmInfo, message: ToLead): void {
    if (!("request" in message)) return;
    const { pool, entry, request } = message as AcquireMessage;
    const { attemptId } = request;
    const cancel: CancelMessage = { pool, entry, attemptId, relayed: true };
    this.#context.transport?.notify(vm.peerAddress, "slots.cancel", cancel);
  }

  /**
   * Goes to the lead, and to the VM that was asked: while the lead changes these differ, and a request that stays queued
   * for a caller who has gone takes a slot when its turn comes.
   */
  #cancel(message: CancelMessage): void {
    const { server, view, transport } = this.#context;
    server.cancel(message);
    const asked = this.#asked.get(message.attemptId);
    const lead = view.lead(message.pool);
    const relayed = message.entry !== view.self.id;
    if (message.relayed) return;
    for (const vm of new Set([lead, asked])) {
      if (!vm || vm.id === view.self.id) continue;
      const onwards = { ...message, relayed };
      transport?.notify(vm.peerAddress, "slots.cancel", onwards);
    }
  }

  #notifyLead(method: string, message: ToLead): void {
    const { view, transport } = this.#context;
    const lead = view.lead(message.pool);
    if (lead.id === view.self.id) return;
    transport?.notify(lead.peerAddress, method, message);
  }

  /** Sends on what is meant for another lead; answers whether it did. */
  #relay(method: string, message: ToLead): boolean {
    const { server, view, transport } = this.#context;
    if (server.leads(message.pool) || message.relayed) return false;
    const lead = view.lead(message.pool);
    if (lead.id === view.self.id) return false;
    transport?.notify(lead.peerAddress, method, { ...message, relayed: true });
    return true;
  }
}
