/**
 * The daemon of one VM. It starts the services in order and stops them on a planned stop.
 *
 * @module
 */

import {
  EtcdKeyValue,
  HttpCallerDirectory,
  HttpUpstreamClient,
  HttpVmList,
  HttpWeightStore,
  type KeyValue,
  LinkFaults,
  readEngineLoad,
  type VmList,
  WsTransport,
} from "../adapters/mod.ts";
import type { UpstreamRow } from "../agreement/mod.ts";
import { type Clock, hash32, Random, systemClock } from "../base/mod.ts";
import type { LoadReport } from "../decisions/mod.ts";
import {
  type CallerListener,
  Edge,
  type EdgeMessages,
  openListener,
} from "../edge/mod.ts";
import { Kernel, type Log, openLog } from "../kernel/mod.ts";
import {
  ClaimsService,
  createTableRouter,
  type DirectoryOptions,
  DirectoryService,
  type FencingMessages,
  FencingService,
  LoadSource,
  MembersService,
  MetricsService,
  type OrderSink,
  SlotsService,
  SuspectsService,
  TableEditor,
  TableService,
} from "../services/mod.ts";
import { adminRoutes } from "./admin.ts";
import { readSecret, type Settings } from "./settings.ts";

/** Reads the loads of engines over HTTP. Plain services report no load. */
class EngineLoadSource extends LoadSource {
  readonly #clock: Clock;

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  async read(
    upstream: UpstreamRow,
    deadlineMs: number,
  ): Promise<LoadReport | undefined> {
    const nowMs = this.#clock.nowMs();
    const load = await readEngineLoad(upstream.url, deadlineMs - nowMs);
    return load && { upstreamId: upstream.id, ...load, atMs: nowMs };
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

/** After the open requests have ended, the services have this long to tell other VMs that they leave and to close. */
const SERVICES_CLOSE_TIMEOUT_MS = 3000;

/** A running daemon. {@link openDaemon} starts one. */
export class Daemon {
  readonly kernel: Kernel;
  readonly url: string;
  readonly peerAddress: string;
  /** Link faults that a test may set, if the settings allow it. */
  readonly linkFaults: LinkFaults;
  readonly #settings: Settings;
  readonly #closeables: readonly { close(): Promise<void> }[];
  #closing: Promise<void> | undefined;

  /** Use {@link openDaemon}. */
  constructor(parts: {
    kernel: Kernel;
    url: string;
    peerAddress: string;
    linkFaults: LinkFaults;
    settings: Settings;
    closeables: readonly { close(): Promise<void> }[];
  }) {
    this.kernel = parts.kernel;
    this.url = parts.url;
    this.peerAddress = parts.peerAddress;
    this.linkFaults = parts.linkFaults;
    this.#settings = parts.settings;
    this.#closeables = parts.closeables;
  }

  /**
   * Stops the daemon as planned: it leaves the directory, refuses new requests, finishes the open ones, hands its duties
   * over and closes.
   */
  close(): Promise<void> {
    this.#closing ??= this.#close();
    return this.#closing;
  }

  async #close(): Promise<void> {
    const { kernel } = this;
    kernel.log.info("stopping");
    await kernel.get("members").ask("leave", undefined);
    const deadlineMs = kernel.clock.nowMs() + this.#settings.limits.drainMs;
    const edge = kernel.get<EdgeMessages>("edge");
    const { cutRequests, unwrittenAnswers } = await edge.ask("drain", {
      deadlineMs,
    });
    if (cutRequests > 0 || unwrittenAnswers > 0) {
      kernel.log.error("requests cut off", {
        count: cutRequests,
        unwrittenAnswers,
        drainMs: this.#settings.limits.drainMs,
      });
    }
    await kernel.close(kernel.clock.nowMs() + SERVICES_CLOSE_TIMEOUT_MS);
    for (const part of this.#closeables) await part.close();
    kernel.log.info("stopped");
  }
}

/** The settings, clients and listeners with which the services of one VM are created. */
interface ServiceParts {
  readonly settings: Settings;
  readonly kernel: Kernel;
  readonly store: KeyValue;
  readonly vmList: VmList | undefined;
  readonly listener: CallerListener;
  readonly transport: WsTransport;
  readonly callerUrl: string;
  readonly peerAddress: string;
  readonly incarnation: number;
  /** The client for orders to engines. Callers' requests use the edge's own client. */
  readonly upstreams: HttpUpstreamClient;
  readonly linkFaults: LinkFaults;
}

/** Starts a VM's daemon and resolves when it serves callers. */
export async function openDaemon(
  settings: Settings,
  stop: () => void = () => {},
): Promise<Daemon> {
  const { vm, listen, limits } = settings;
  const log = openLog(settings.log.level, { vm: vm.id });
  const kernel = new Kernel(systemClock, log);
  const listener = await openListener({
    ...listen.callers,
    headerBytes: limits.headerBytes,
  });
  const linkFaults = new LinkFaults();
  const transport = await openTransport(settings, linkFaults, log);
  const callerUrl = settings.advertise.callerUrl ??
    `http://${listener.address.host}:${listener.address.port}`;
  const peerAddress = settings.advertise.peerAddress ?? transport.address;
  const platform = { urls: settings.platform.storeUrls, vmId: vm.id };
  const store = new EtcdKeyValue(platform);
  const listUrl = settings.platform.vmListUrl;
  const vmList = listUrl
    ? new HttpVmList({ urls: [listUrl], vmId: vm.id })
    : undefined;
  const upstreams = new HttpUpstreamClient();
  const incarnation = Math.floor(kernel.clock.nowMs());
  const parts = {
    settings,
    kernel,
    store,
    vmList,
    listener,
    transport,
    callerUrl,
    peerAddress,
    incarnation,
    upstreams,
    linkFaults,
  };
  const closeables = [transport, store, upstreams, ...(vmList ? [vmList] : [])];
  const daemon = new Daemon({
    kernel,
    url: callerUrl,
    peerAddress,
    linkFaults,
    settings,
    closeables,
  });
  await startServices(parts, stop);
  log.info("ready", { url: callerUrl, peers: peerAddress, region: vm.region });
  return daemon;
}

async function openTransport(
  settings: Settings,
  faults: LinkFaults,
  log: Log,
): Promise<WsTransport> {
  const { vm, listen, peers } = settings;
  const secret = readSecret(peers.credential);
  const alsoAcceptedSetting = peers.alsoAccepted;
  const alsoAccepted = alsoAcceptedSetting === undefined
    ? undefined
    : readSecret(alsoAcceptedSetting);
  return await WsTransport.open({
    vmId: vm.id,
    region: vm.region,
    secret,
    alsoAccepted,
    ...listen.peers,
    faults,
    log,
  });
}

/** Creates the clients through which this region publishes its weights and entry VMs, if the settings name their URLs. */
function createPublishers(
  settings: Settings,
): Pick<DirectoryOptions, "weightStore" | "callerDirectory"> {
  const { weightsUrl, directoryUrl } = settings.platform;
  const vmId = settings.vm.id;
  return {
    ...(weightsUrl
      ? { weightStore: new HttpWeightStore({ urls: [weightsUrl], vmId }) }
      : {}),
    ...(directoryUrl
      ? {
        callerDirectory: new HttpCallerDirectory({
          urls: [directoryUrl],
          vmId,
        }),
      }
      : {}),
  };
}

/**
 * An order that can't be sent within this time is dropped. An order names the wanted state, and the lead repeats it for as
 * long as that state is wanted.
 */
const ORDER_TIMEOUT_MS = 5000;

/** Creates the function that sends leads' orders to engines with fencing numbers. Plain services take no orders. */
function createOrderSink(kernel: Kernel): OrderSink {
  return (pool, { upstreamId, want }) => {
    const upstream = pool.upstreams.find((row) => row.id === upstreamId);
    if (!upstream) return;
    const deadlineMs = kernel.clock.nowMs() + ORDER_TIMEOUT_MS;
    const fencing = kernel.get<FencingMessages>("fencing");
    void fencing.ask("order", { upstream, order: { want }, deadlineMs }).then((
      sent,
    ) =>
      kernel.log.info("order", {
        upstream: upstreamId,
        want,
        outcome: sent.isOk() ? "sent" : sent.error.code,
      })
    );
  };
}

/** Starts the services in the order of their dependencies, so that each finds the services it calls already started. */
async function startServices(
  parts: ServiceParts,
  stop: () => void,
): Promise<void> {
  const { settings, kernel, store, transport, incarnation } = parts;
  const { vm, limits } = settings;
  await kernel.start(new MetricsService());
  await kernel.start(
    new MembersService({
      vmId: vm.id,
      incarnation,
      region: vm.region,
      failureDomain: vm.failureDomain,
      peerAddress: parts.peerAddress,
      callerUrl: parts.callerUrl,
      transport,
      seeds: settings.peers.seeds,
      ...(parts.vmList ? { vmList: parts.vmList } : {}),
    }),
  );
  const random = new Random(hash32(`${vm.id}/${incarnation}`));
  const table = new TableService({ vm, store, transport, random });
  await kernel.start(table);
  const editor = new TableEditor({
    service: table,
    vmId: vm.id,
    clock: kernel.clock,
    random,
  });
  const me = { id: vm.id, incarnation };
  await kernel.start(
    new FencingService({ me, store, upstreams: parts.upstreams }),
  );
  await kernel.start(
    new SlotsService({
      vmId: vm.id,
      region: vm.region,
      transport,
      loadSource: new EngineLoadSource(kernel.clock),
      onOrder: createOrderSink(kernel),
    }),
  );
  await kernel.start(
    new SuspectsService({ vmId: vm.id, region: vm.region, store, transport }),
  );
  await kernel.start(
    new ClaimsService({
      me,
      region: vm.region,
      store,
      transport,
      members: kernel.get("members"),
      table: kernel.get("table"),
    }),
  );
  await kernel.start(
    new DirectoryService({
      vmId: vm.id,
      region: vm.region,
      ...createPublishers(settings),
    }),
  );
  const linkFaults = settings.testing.linkFaults ? parts.linkFaults : undefined;
  const startedAtMs = kernel.clock.nowMs();
  await kernel.start(
    new Edge({
      vmId: vm.id,
      region: vm.region,
      listener: parts.listener,
      limits,
      operatorTokenDigests: settings.operators.tokenDigests,
      adminRoutes: () => [
        adminRoutes({ kernel, vm, startedAtMs, stop, linkFaults }),
        createTableRouter({ service: table, editor, clock: kernel.clock }),
      ],
    }),
  );
}
