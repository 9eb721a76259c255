/**
 * The slots service. It finds the lead of a pool, here or on another VM of the region, and leads the pools that are
 * assigned to this VM. Without other VMs it leads all pools.
 *
 * @module
 */

import type { Transport } from "../adapters/mod.ts";
import {
  type Clock,
  failure,
  hash32,
  PauseDetector,
  Random,
  type Timer,
} from "../base/mod.ts";
import type {
  HeldSlot,
  RemoteRegion,
  SlotAnswer,
  SlotRequest,
} from "../decisions/mod.ts";
import type { PoolInfo } from "../agreement/mod.ts";
import {
  type Handlers,
  type Kernel,
  Task,
  type TaskPort,
} from "../kernel/mod.ts";
import { RemoteSlotsClient, RemoteSlotsHost } from "./remote_slots.ts";
import { LeadClient, RENEW_INTERVAL_MS } from "./lead_client.ts";
import { LoadPoller, type LoadSource } from "./load_poller.ts";
import type { HandoverMessage } from "./lead_messages.ts";
import { COLLECT_TIMEOUT_MS } from "./lead_pool.ts";
import { LeadRouter } from "./lead_router.ts";
import { LeadServer, type OrderSink } from "./lead_server.ts";
import {
  bestPool,
  LeadView,
  LOAD_TOPIC_PREFIX,
  toPublishedLoad,
} from "./lead_view.ts";
import type {
  MembersMessages,
  SlotsMessages,
  TableMessages,
  TopicValue,
  VmInfo,
} from "./messages.ts";

/** The options of the slots service. Without `transport` this VM runs alone. */
export interface SlotsOptions {
  readonly vmId: string;
  readonly region: string;
  readonly transport?: Transport;
  readonly loadSource?: LoadSource;
  /** Receives the pools' orders to park or wake upstreams; they are dropped if it is absent. */
  readonly onOrder?: OrderSink;
}

const TICK_INTERVAL_MS = 50;
/** The interval at which the VMs and the table are read: a small part of the time it takes to detect a dead VM. */
const REFRESH_INTERVAL_MS = 100;
const DIGEST_INTERVAL_MS = 1000;
/** The longest time that a request waits for the table version that it was accepted on. */
const MAX_CATCH_UP_MS = 500;
/** An unchanged digest is published again after this time. */
const DIGEST_REPEAT_MS = 4000;
const SWEEP_INTERVAL_MS = 1000;
/** A digest older than this is ignored: its lead is gone or unreachable. */
const MAX_DIGEST_AGE_MS = 10_000;

/** The `slots` task. It needs the `table` task, and uses the `members` task if there is one. */
export class SlotsService extends Task<SlotsMessages> {
  readonly name = "slots";
  protected readonly handlers: Handlers<SlotsMessages> = {
    acquire: (request) => this.#acquire(request),
    report: (report) => {
      if (!this.#remoteClient?.report(report)) this.#client.report(report);
    },
    cancel: ({ attemptId }) => {
      this.#awaitingTable.delete(attemptId);
      this.#remoteClient?.cancel(attemptId);
      this.#client.cancel(attemptId);
    },
  };
  readonly #options: SlotsOptions;
  readonly #view: LeadView;
  readonly #timers: Timer[] = [];
  #clock!: Clock;
  #table!: TaskPort<TableMessages>;
  #members: TaskPort<MembersMessages> | undefined;
  #server!: LeadServer;
  #router!: LeadRouter;
  #client!: LeadClient;
  #poller: LoadPoller | undefined;
  #remoteClient: RemoteSlotsClient | undefined;
  #remoteHost: RemoteSlotsHost | undefined;
  /** Attempts that wait for the table version that they were accepted on. */
  readonly #awaitingTable = new Set<string>();
  #pauseDetector!: PauseDetector;
  #refreshing: Promise<void> | undefined;
  #nextRefresh: Promise<void> | undefined;
  readonly #lastPublished = new Map<string, { text: string; atMs: number }>();

  constructor(options: SlotsOptions) {
    super();
    this.#options = options;
    this.#view = new LeadView(standaloneVm(options));
  }

  async start(kernel: Kernel): Promise<void> {
    this.#clock = kernel.clock;
    this.#table = kernel.get<TableMessages>("table");
    if (kernel.has("members")) {
      this.#members = kernel.get<MembersMessages>("members");
    }
    this.#createParts(kernel);
    await this.#refresh();
    this.#pauseDetector = new PauseDetector(this.#clock);
    this.#runEvery(TICK_INTERVAL_MS, () => this.#tick());
    this.#runEvery(REFRESH_INTERVAL_MS, () => void this.#refresh());
    this.#runEvery(RENEW_INTERVAL_MS, () => {
      this.#client.renewAll();
      this.#remoteClient?.renewAll();
    });
    this.#runEvery(SWEEP_INTERVAL_MS, () => this.#remoteHost?.sweep());
    this.#runEvery(DIGEST_INTERVAL_MS, () => void this.#exchangeDigests());
  }

  /** Hands over its pools. Requests that other VMs have waiting here go to the next leads at once. */
  async close(_deadlineMs: number): Promise<void> {
    for (const timer of this.#timers.splice(0)) timer.close();
    this.#pauseDetector.close();
    await this.#members?.ask("leave", undefined);
    await this.#refresh();
    this.#server.close();
    await this.#options.loadSource?.close();
  }

  dump(): unknown {
    return {
      table: this.#view.table?.version,
      vms: this.#view.vms.map((vm) => `${vm.id} ${vm.state}`),
      leads: this.#server.dump(),
      client: this.#client.dump(),
      away: {
        held: this.#remoteClient?.heldCount,
        hosted: this.#remoteHost?.hostedCount,
      },
    };
  }

  #createParts(kernel: Kernel): void {
    const { clock, log } = kernel;
    const { transport, vmId, loadSource } = this.#options;
    const view = this.#view;
    this.#server = new LeadServer({
      clock,
      log,
      view,
      onOrder: this.#options.onOrder ?? (() => {}),
      catchUp: (request) => this.#catchUp(request),
      collect: (pool, onHeld) => this.#collect(pool, onHeld),
      handOver: (message) => this.#handOver(message),
    });
    this.#router = new LeadRouter({
      clock,
      view,
      server: this.#server,
      transport,
      onCallFailed: (id) => void this.#members?.ask("check", { vmId: id }),
    });
    const random = new Random(hash32(vmId));
    const router = this.#router;
    this.#client = new LeadClient({ clock, log, random, view, router });
    this.#router.listen(({ pool }) => this.#client.heldOf(pool));
    this.#createRemoteParts();
    if (!loadSource) return;
    this.#poller = new LoadPoller(
      clock,
      loadSource,
      (pool, load) => this.#server.observeLoad(pool, load),
    );
  }

  #runEvery(periodMs: number, run: () => void): void {
    this.#timers.push(this.#clock.every(periodMs, run));
  }

  #tick(): void {
    if (this.#pauseDetector.consumePause()) this.#server.restart();
    this.#server.tick();
  }

  /**
   * Reads the table and the VMs. Refreshes run one at a time; a call during a refresh waits for another one that starts
   * after it.
   */
  #refresh(): Promise<void> {
    if (this.#refreshing) {
      this.#nextRefresh ??= this.#refreshing.then(() => {
        this.#nextRefresh = undefined;
        return this.#refresh();
      });
      return this.#nextRefresh;
    }
    this.#refreshing = this.#refreshOnce().finally(() =>
      this.#refreshing = undefined
    );
    return this.#refreshing;
  }

  async #refreshOnce(): Promise<void> {
    const table = await this.#table.ask("current", undefined);
    const tableChanged = this.#view.setTable(table);
    const vms = await this.#members?.ask("region", undefined);
    const vmsChanged = this.#view.setVms(vms ?? []);
    if (vmsChanged) this.#router.abortCallsToMissingVms();
    if (tableChanged || vmsChanged) this.#server.update(tableChanged);
    // Reports that were sent to a lost lead are lost. The renewal tells the new lead what is no longer held.
    if (vmsChanged) this.#client.renewAll();
    // A plain service has no load report. Polling it would send it requests that its owner did not make.
    this.#poller?.poll(
      this.#server.ledPoolInfos().filter((info) =>
        table?.service(info.service)?.type === "model"
      ),
    );
  }

  #collect(
    pool: string,
    onHeld: (entry: string, held: readonly HeldSlot[]) => void,
  ): void {
    const { self, vms } = this.#view;
    onHeld(self.id, this.#client.heldOf(pool));
    const deadlineMs = this.#clock.nowMs() + COLLECT_TIMEOUT_MS;
    for (const vm of vms) {
      if (vm.id === self.id) continue;
      const call = this.#options.transport?.call(
        vm.peerAddress,
        "slots.held",
        { pool },
        deadlineMs,
      );
      void call?.then((result) =>
        result.map((held) => onHeld(vm.id, held as HeldSlot[]))
      );
    }
  }

  #handOver(message: HandoverMessage): void {
    const next = this.#view.leadCandidates(message.pool)
      .find((vm) => vm.id !== this.#view.self.id);
    if (!next) return;
    this.#options.transport?.notify(
      next.peerAddress,
      "slots.handover",
      message,
    );
  }

  #createRemoteParts(): void {
    const { transport, region } = this.#options;
    const members = this.#members;
    if (!transport || !members) return;
    const table = this.#table;
    const context = { clock: this.#clock, region, transport, members, table };
    this.#remoteClient = new RemoteSlotsClient(context);
    this.#remoteHost = new RemoteSlotsHost(context, {
      acquire: (request) => this.#client.acquire(request),
      report: (report) => this.#client.report(report),
      cancel: (attemptId) => this.#client.cancel(attemptId),
    });
    this.#remoteHost.listen();
  }

  /** If the lead refers a request to another region that grants no slot, the home lead makes the final decision. */
  async #acquire(request: SlotRequest): Promise<SlotAnswer> {
    if (this.#isBehind(request) && !await this.#awaitTable(request)) {
      return { type: "refuse", failure: failure("canceled", { ran: "no" }) };
    }
    const answer = await this.#client.acquire(request);
    if (answer.type !== "shift") return answer;
    const remoteAnswer = await this.#remoteClient?.acquire(
      answer.region,
      request,
    );
    if (remoteAnswer) return remoteAnswer;
    return await this.#client.acquire({ ...request, stayHome: true });
  }

  #isBehind(request: SlotRequest): boolean {
    return (this.#view.table?.version ?? 0) < request.tableVersion;
  }

  /** Waits for the request's table version. Returns whether the request is still wanted afterwards. */
  async #awaitTable(request: SlotRequest): Promise<boolean> {
    this.#awaitingTable.add(request.attemptId);
    await this.#catchUp(request);
    return this.#awaitingTable.delete(request.attemptId);
  }

  /**
   * Waits until the table version that a request was accepted on is in force here. The table is read only periodically,
   * so otherwise the request could reach a lead that does not know its service or still allows what an edit forbids.
   */
  async #catchUp(request: SlotRequest): Promise<void> {
    const { tableVersion } = request;
    const untilMs = this.#clock.nowMs() + MAX_CATCH_UP_MS;
    const deadlineMs = Math.min(request.deadlineMs, untilMs);
    await this.#table.ask("waitFor", { version: tableVersion, deadlineMs });
    await this.#refresh();
  }

  async #exchangeDigests(): Promise<void> {
    if (!this.#members) return;
    for (const [info, digest] of this.#server.digests()) {
      const topic = `${LOAD_TOPIC_PREFIX}${info.service}/${info.number}`;
      const body = toPublishedLoad(digest);
      if (this.#recordIfDue(topic, JSON.stringify(body))) {
        await this.#members.ask("publish", { topic, body });
      }
    }
    const topics = await this.#members.ask("topics", undefined);
    this.#view.setDigests(topics.get(this.#view.self.region) ?? []);
    this.#server.setRemoteRegions((info) => this.#remoteRegions(info, topics));
  }

  #recordIfDue(topic: string, text: string): boolean {
    const nowMs = this.#clock.nowMs();
    const last = this.#lastPublished.get(topic);
    if (last?.text === text && nowMs - last.atMs < DIGEST_REPEAT_MS) {
      return false;
    }
    this.#lastPublished.set(topic, { text, atMs: nowMs });
    return true;
  }

  #remoteRegions(
    info: PoolInfo,
    topics: ReadonlyMap<string, readonly TopicValue[]>,
  ): RemoteRegion[] {
    const links = this.#view.table?.region(info.region)?.linkMs ?? {};
    const minSeenAtMs = this.#clock.nowMs() - MAX_DIGEST_AGE_MS;
    const remoteRegions: RemoteRegion[] = [];
    for (const [region, values] of topics) {
      if (region === info.region) continue;
      const digests = values.filter((value) =>
        value.seenAtMs >= minSeenAtMs &&
        value.topic.startsWith(`${LOAD_TOPIC_PREFIX}${info.service}/`)
      );
      const best = bestPool(digests, this.#clock.nowMs());
      if (best) {
        remoteRegions.push({ region, linkMs: links[region] ?? 0, ...best });
      }
    }
    return remoteRegions;
  }
}

function standaloneVm({ vmId, region }: SlotsOptions): VmInfo {
  return {
    id: vmId,
    incarnation: 0,
    region,
    failureDomain: "",
    peerAddress: "",
    callerUrl: "",
    state: "live",
    tableVersion: 0,
  };
}
