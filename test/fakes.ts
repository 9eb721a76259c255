/**
 * Fakes of the services that the edge uses, and an edge over them.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { ok } from "neverthrow";
import {
  type ClaimAnswer,
  type ClaimKey,
  type ClaimVerdict,
  Table,
  type TableRow,
} from "../src/agreement/mod.ts";
import { failure, secretDigest, systemClock } from "../src/base/mod.ts";
import type {
  SlotAnswer,
  SlotReport,
  SlotRequest,
} from "../src/decisions/mod.ts";
import { Edge, type EdgeLimits, openListener } from "../src/edge/mod.ts";
import { Transport } from "../src/adapters/mod.ts";
import { MemoryKeyValue } from "../src/standins/mod.ts";
import { Kernel, type Log, openLog, Task } from "../src/kernel/mod.ts";
import {
  type ClaimsMessages,
  type DirectoryMessages,
  type MembersMessages,
  MetricsService,
  type SlotsMessages,
  SuspectsService,
  type TableMessages,
  type VmInfo,
} from "../src/services/mod.ts";

abstract class FakeTask<M extends Record<string, { in: unknown; out: unknown }>>
  extends Task<M> {
  start(): Promise<void> {
    return Promise.resolve();
  }
  close(): Promise<void> {
    return Promise.resolve();
  }
  dump(): unknown {
    return {};
  }
}

/** A table service whose table the test sets. */
export class FakeTable extends FakeTask<TableMessages> {
  readonly name = "table";
  table: Table | undefined;
  protected readonly handlers = {
    current: () => this.table,
    waitFor: () => this.table,
  };
}

/** A members service whose members the test sets. */
export class FakeMembers extends FakeTask<MembersMessages> {
  readonly name = "members";
  vms: VmInfo[] = [];
  remoteVms = new Map<string, readonly VmInfo[]>();
  protected readonly handlers = {
    region: () => this.vms,
    others: () => this.remoteVms,
    leave: () => {},
  } as never;
}

/** A slots service that grants every request at once, in turn over the upstreams, and records what it receives. */
export class FakeSlots extends FakeTask<SlotsMessages> {
  readonly name = "slots";
  readonly requests: SlotRequest[] = [];
  /** Reports of the ends of attempts. */
  readonly reports: SlotReport[] = [];
  /** Ids of attempts whose first token was reported. */
  readonly startedAttempts: string[] = [];
  readonly canceledAttempts: string[] = [];
  /** Whether requests wait in the lead's queue until they are canceled. */
  isQueueing = false;
  readonly #waiting = new Map<string, (answer: SlotAnswer) => void>();
  #nextIndex = 0;
  readonly #table: FakeTable;

  constructor(table: FakeTable) {
    super();
    this.#table = table;
  }
  protected readonly handlers = {
    acquire: (request: SlotRequest) => this.#acquire(request),
    report: (report: SlotReport) => {
      if (report.outcome === "started") {
        this.startedAttempts.push(report.attemptId);
      } else this.reports.push(report);
    },
    cancel: ({ attemptId }: { attemptId: string }) => {
      this.canceledAttempts.push(attemptId);
      const refusal = failure("canceled", { ran: "no" });
      this.#waiting.get(attemptId)?.({ type: "refuse", failure: refusal });
    },
  };
  #acquire(request: SlotRequest): SlotAnswer | Promise<SlotAnswer> {
    this.requests.push(request);
    if (this.isQueueing) {
      return new Promise((resolve) =>
        this.#waiting.set(request.attemptId, resolve)
      );
    }
    const candidates =
      (this.#table.table?.upstreams(request.service, "agadir") ?? [])
        .filter((upstream) => !request.exclude.includes(upstream.id));
    if (candidates.length === 0) {
      return {
        type: "refuse",
        failure: failure("noUpstream", { retryAtMs: Date.now() + 500 }),
      };
    }
    const upstream = candidates[this.#nextIndex++ % candidates.length];
    return {
      type: "grant",
      attemptId: request.attemptId,
      upstreamId: upstream.id,
      url: upstream.url,
      expiresAtMs: Date.now() + 5000,
      queuedMs: 0,
    };
  }
}

/** A claims service that keeps claims in this process's memory. */
export class FakeClaims extends FakeTask<ClaimsMessages> {
  readonly name = "claims";
  readonly states = new Map<
    string,
    "running" | "unknown" | { answer: ClaimAnswer }
  >();
  shouldRefuse = false;
  /** Resolves before a claim is answered. */
  claimsAnswered: Promise<void> = Promise.resolve();
  /** Resolves before an answer is recorded. */
  finishesAnswered: Promise<void> = Promise.resolve();
  /** How long after the grant a claim may be dispatched. */
  dispatchMs = 5000;
  protected readonly handlers = {
    claim: async (claim: ClaimKey): Promise<ClaimVerdict> => {
      await this.claimsAnswered;
      if (this.shouldRefuse) {
        return {
          type: "refused",
          failure: failure("claimUnavailable", { retryAtMs: Date.now() + 500 }),
        };
      }
      const state = this.states.get(claim.key);
      if (state === "running" || state === "unknown") return { type: state };
      if (state) return { type: "answered", answer: state.answer };
      this.states.set(claim.key, "running");
      const dispatchBeforeMonoMs = systemClock.monoMs() + this.dispatchMs;
      return { type: "granted", claimId: randomUUID(), dispatchBeforeMonoMs };
    },
    finish: async ({ key, answer }: ClaimKey & { answer: ClaimAnswer }) => {
      await this.finishesAnswered;
      this.states.set(key, { answer });
    },
    release: ({ key }: ClaimKey) => void this.states.delete(key),
    abandon: ({ key }: ClaimKey) => void this.states.set(key, "unknown"),
    lookup: ({ key }: ClaimKey) => ok(this.states.get(key) ?? "none"),
  } as never;
}

/** A directory without VMs. */
class FakeDirectory extends FakeTask<DirectoryMessages> {
  readonly name = "directory";
  protected readonly handlers = {
    lookup: () => ({ vms: [], askAgainAtMs: Date.now() + 1000 }),
  };
}

/** A transport without other VMs. */
class NoTransport extends Transport {
  handle(): void {}
  call(): Promise<never> {
    return Promise.reject(new Error("there is no other VM"));
  }
  notify(): void {}
  bytes() {
    return { sent: 0, received: 0 };
  }
  close(): Promise<void> {
    return Promise.resolve();
  }
}

/** Edge limits that are short enough for tests. */
export const TEST_LIMITS: EdgeLimits = {
  bodyBytes: 1 << 20,
  headerBytes: 16 << 10,
  bodyWaitMs: 300,
  stalledCallerMs: 500,
  upstreamStallMs: 300,
  openRequests: 1000,
  attempts: 3,
  drainMs: 5000,
};

/** The key of workspace `drivers`. Its home is Agadir, the region of {@link openEdge}'s edge. */
export const DRIVERS_KEY = "drivers-key";
/** The key of workspace `muscat`, which is bound to another region. */
export const REMOTE_KEY = "far-key";
/** The operator token of {@link openEdge}'s edge. */
export const OPERATOR_TOKEN = "operator-token";

/** An edge over fakes, as {@link openEdge} returns it. */
export interface TestEdge {
  readonly url: string;
  readonly kernel: Kernel;
  readonly table: FakeTable;
  readonly members: FakeMembers;
  readonly slots: FakeSlots;
  readonly claims: FakeClaims;
  close(): Promise<void>;
}

/** Returns the row of an engine or plain upstream, for {@link openEdge}. */
export function upstreamRow(
  id: string,
  service: string,
  url: string,
  extraFields: object = {},
): TableRow {
  return {
    kind: "upstream",
    id,
    service,
    region: "agadir",
    failureDomain: "agadir-1",
    url,
    slots: 16,
    prefillTokensPerS: 8000,
    decodeTokensPerS: 1500,
    state: "active",
    checksFence: false,
    resumes: false,
    ...extraFields,
  } as TableRow;
}

function makeBaseRows(): TableRow[] {
  const service = {
    kind: "service",
    models: [] as string[],
    atMostOnce: false,
    objective: { latencyWeight: 1, costWeight: 0, awayWeight: 0 },
    defaultDeadlineMs: 5000,
    queueLimit: 100,
    poolSize: 64,
  } as const;
  const workspace = { kind: "workspace", bound: true, weight: 1 } as const;
  return [
    { ...service, id: "plan", type: "model" },
    { ...service, id: "quick", type: "model", defaultDeadlineMs: 200 },
    { ...service, id: "ledger", type: "plain", atMostOnce: true },
    { ...service, id: "notes", type: "plain" },
    {
      ...workspace,
      id: "drivers",
      home: "agadir",
      keyDigests: [secretDigest(DRIVERS_KEY)],
    },
    {
      ...workspace,
      id: "muscat",
      home: "muscat",
      keyDigests: [secretDigest(REMOTE_KEY)],
    },
  ];
}

/** Opens an edge in region Agadir over fakes and the upstreams in `rows`. */
export async function openEdge(
  rows: readonly TableRow[],
  limits: Partial<EdgeLimits> = {},
  log: Log = openLog("silent"),
): Promise<TestEdge> {
  const kernel = new Kernel(systemClock, log);
  const table = new FakeTable();
  table.table = Table.of(
    1,
    [...makeBaseRows(), ...rows].map((row) => ({ row, version: 1 })),
  );
  const members = new FakeMembers();
  const slots = new FakeSlots(table);
  const claims = new FakeClaims();
  await kernel.start(new MetricsService());
  for (const task of [table, members, slots, claims, new FakeDirectory()]) {
    await kernel.start(task);
  }
  await kernel.start(
    new SuspectsService({
      vmId: "vm-1",
      region: "agadir",
      store: new MemoryKeyValue(),
      transport: new NoTransport(),
    }),
  );
  const allLimits = { ...TEST_LIMITS, ...limits };
  const listener = await openListener({
    host: "127.0.0.1",
    port: 0,
    headerBytes: allLimits.headerBytes,
  });
  const edge = new Edge({
    vmId: "vm-1",
    region: "agadir",
    listener,
    limits: allLimits,
    operatorTokenDigests: [secretDigest(OPERATOR_TOKEN)],
  });
  await kernel.start(edge);
  const { port } = listener.address;
  const close = () => kernel.close(Date.now() + 500);
  return {
    url: `http://127.0.0.1:${port}`,
    kernel,
    table,
    members,
    slots,
    claims,
    close,
  };
}
