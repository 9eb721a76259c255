/**
 * Delivers a message to the lead of a pool. The lead is this VM or the one that leads according to this VM's view; if
 * the link to it is cut or the views differ, one other VM relays the message.
 *
 * @module
 */

import type { AttemptsDigest } from "../agreement/mod.ts";
import type { Transport } from "../adapters/mod.ts";
import type { Clock } from "../base/mod.ts";
import type { HeldSlot, SlotReport, SlotRequest } from "../decisions/mod.ts";
import type {
  AcquireMessage,
  AcquireReply,
  CancelMessage,
  HeldMessage,
  LeadMessage,
  RenewMessage,
  RenewReply,
  ReportMessage,
} from "./lead_messages.ts";
import type { LeadServer } from "./lead_server.ts";
import type { LeadView } from "./lead_view.ts";
import type { VmInfo } from "./messages.ts";

/** A lead answers at the request's deadline at the latest. This is the extra time for the answer to arrive. */
const ANSWER_GRACE_MS = 1000;
const RENEW_TIMEOUT_MS = 1000;
/**
 * The time for which a VM that could not be reached directly is tried last. If the link to it is cut, each attempt
 * costs a handshake timeout, which every request would wait for before it is relayed.
 */
const AVOID_DURATION_MS = 5000;

/** The dependencies of a {@link LeadRouter}. */
export interface LeadRouterContext {
  readonly clock: Clock;
  readonly view: LeadView;
  readonly server: LeadServer;
  /** Absent if the VM runs alone. */
  readonly transport: Transport | undefined;
  /** Called when a VM could not be reached. */
  readonly onCallFailed: (vmId: string) => void;
}

interface PendingCall {
  readonly vmId: string;
  readonly abort: () => void;
}

/** Delivers messages to the leads of pools, and handles those that other VMs send. */
export class LeadRouter {
  readonly #context: LeadRouterContext;
  readonly #pendingCalls = new Set<PendingCall>();
  readonly #avoidUntilMs = new Map<string, number>();
  /** The VM to which the pending request of each attempt was sent last. */
  readonly #askedVms = new Map<string, VmInfo>();

  constructor(context: LeadRouterContext) {
    this.#context = context;
  }

  /** Registers the handlers of the messages that other VMs send. */
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
      (p) =>
        server.adoptHandover(p as Parameters<LeadServer["adoptHandover"]>[0]),
    );
  }

  acquire(pool: string, request: SlotRequest): Promise<AcquireReply> {
    return this.#acquire({ ...this.#newMessage(pool), request });
  }

  renew(
    pool: string,
    digest: AttemptsDigest,
    held?: readonly HeldSlot[],
  ): Promise<RenewReply | undefined> {
    return this.#renew({ ...this.#newMessage(pool), digest, held });
  }

  report(pool: string, report: SlotReport): void {
    const message: ReportMessage = { ...this.#newMessage(pool), report };
    if (this.#context.server.isLeadOf(pool)) {
      this.#context.server.report(message);
    } else this.#notifyLead("slots.report", message);
  }

  cancel(pool: string, attemptId: string): void {
    this.#cancel({ ...this.#newMessage(pool), attemptId });
  }

  /**
   * Aborts calls to VMs that are gone. The connection to a lead that is frozen or behind a cut link stays open without
   * an answer, so a queued request would wait for it until its deadline.
   */
  abortCallsToMissingVms(): void {
    for (const call of this.#pendingCalls) {
      if (!this.#context.view.hasVm(call.vmId)) call.abort();
    }
  }

  #newMessage(pool: string): LeadMessage {
    return { pool, entry: this.#context.view.self.id, relayed: false };
  }

  async #acquire(message: AcquireMessage): Promise<AcquireReply> {
    if (this.#context.server.isLeadOf(message.pool)) {
      return await this.#context.server.acquire(message);
    }
    const { attemptId, deadlineMs } = message.request;
    const reply = await this.#forward(
      "slots.acquire",
      message,
      deadlineMs + ANSWER_GRACE_MS,
      (vm) => this.#askedVms.set(attemptId, vm),
    );
    this.#askedVms.delete(attemptId);
    return reply as AcquireReply | undefined ?? { type: "moved" };
  }

  async #renew(message: RenewMessage): Promise<RenewReply> {
    if (this.#context.server.isLeadOf(message.pool)) {
      return this.#context.server.renew(message);
    }
    const deadlineMs = this.#context.clock.nowMs() + RENEW_TIMEOUT_MS;
    const reply = await this.#forward("slots.renew", message, deadlineMs);
    return reply as RenewReply | undefined ?? { type: "moved" };
  }

  /**
   * Calls the lead and, if that fails, the next candidate, which relays the message. A relayed message is not forwarded
   * again: two VMs with different views would send it back and forth forever.
   */
  async #forward(
    method: string,
    message: LeadMessage,
    deadlineMs: number,
    onCall: (vm: VmInfo) => void = () => {},
  ): Promise<unknown> {
    const { view } = this.#context;
    if (message.relayed) return undefined;
    const [lead, next] = view.leadCandidates(message.pool);
    if (lead.id === view.self.id) return undefined;
    if (message.entry !== view.self.id) {
      const forwarded = { ...message, relayed: true };
      onCall(lead);
      return await this.#call(lead, method, forwarded, deadlineMs);
    }
    const targets = next && next.id !== view.self.id ? [lead, next] : [lead];
    if (this.#isAvoided(lead.id)) targets.reverse();
    for (const vm of targets) {
      onCall(vm);
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
    message: LeadMessage,
    deadlineMs: number,
  ): Promise<unknown> {
    const { transport, onCallFailed } = this.#context;
    if (!transport) return undefined;
    let abort = () => {};
    const aborted = new Promise<undefined>((resolve) => {
      abort = () => resolve(undefined);
    });
    const pendingCall = { vmId: vm.id, abort };
    this.#pendingCalls.add(pendingCall);
    const call = transport.call(vm.peerAddress, method, message, deadlineMs);
    const result = await Promise.race([call, aborted]);
    this.#pendingCalls.delete(pendingCall);
    if (result === undefined) {
      this.#withdraw(vm, message);
      return undefined;
    }
    if (result.isOk()) return result.value;
    if (result.error.kind === "failed") return undefined;
    this.#avoidUntilMs.set(
      vm.id,
      this.#context.clock.nowMs() + AVOID_DURATION_MS,
    );
    onCallFailed(vm.id);
    return undefined;
  }

  /**
   * Cancels a request at a VM that did not answer. A frozen lead reads the requests buffered in its sockets when it
   * resumes, long after their callers were served elsewhere. It would grant them slots that nobody uses, and its own
   * callers would wait until these expire. The cancellation follows the request on the same connection, so that a VM
   * that reads the request also reads the cancellation.
   */
  #withdraw(vm: VmInfo, message: LeadMessage): void {
    if (!("request" in message)) return;
    const { pool, entry, request } = message as AcquireMessage;
    const { attemptId } = request;
    const cancel: CancelMessage = { pool, entry, attemptId, relayed: true };
    this.#context.transport?.notify(vm.peerAddress, "slots.cancel", cancel);
  }

  /**
   * Sends the cancellation to the lead and to the VM that was asked. These differ while the lead changes, and a request
   * that stays queued after its caller disconnected would take a slot at its turn.
   */
  #cancel(message: CancelMessage): void {
    const { server, view, transport } = this.#context;
    server.cancel(message);
    const asked = this.#askedVms.get(message.attemptId);
    const lead = view.leadOf(message.pool);
    const isRelayed = message.entry !== view.self.id;
    if (message.relayed) return;
    for (const vm of new Set([lead, asked])) {
      if (!vm || vm.id === view.self.id) continue;
      const forwarded = { ...message, relayed: isRelayed };
      transport?.notify(vm.peerAddress, "slots.cancel", forwarded);
    }
  }

  #notifyLead(method: string, message: LeadMessage): void {
    const { view, transport } = this.#context;
    const lead = view.leadOf(message.pool);
    if (lead.id === view.self.id) return;
    transport?.notify(lead.peerAddress, method, message);
  }

  /** Relays a message to the lead if that is another VM. Returns whether it was relayed. */
  #relay(method: string, message: LeadMessage): boolean {
    const { server, view, transport } = this.#context;
    if (server.isLeadOf(message.pool) || message.relayed) return false;
    const lead = view.leadOf(message.pool);
    if (lead.id === view.self.id) return false;
    transport?.notify(lead.peerAddress, method, { ...message, relayed: true });
    return true;
  }
}
