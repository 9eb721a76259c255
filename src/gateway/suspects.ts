/**
 * Requests under which upstreams ended: what this VM saw of them and what others told, and who may run them.
 *
 * @module
 */

import type { KeyValue } from "../adapters/mod.ts";
import type { Clock, Timer } from "../base/mod.ts";
import {
  type Handlers,
  type Kernel,
  type Log,
  type Messages,
  Task,
} from "../kernel/mod.ts";
import type { Fleet } from "../routing/mod.ts";
import {
  EndBook,
  type EndNews,
  ENDS_BEFORE_TRIAL,
  mayBeCause,
  MOST_ROWS,
  type Standing,
} from "../suspects/mod.ts";
import type { Datagrams } from "./datagrams.ts";
import type { Loss, Losses } from "./losses.ts";
import type { Members } from "./members.ts";
import type { GatewayMetrics } from "./metrics.ts";
import { SuspectStore } from "./suspect_store.ts";

/** What was told may be lost on the way: it is told again this often. */
const TELL_AGAIN_MS = 2_000;
/** What this VM itself saw is told to its leads for so long, should they be cut off or change. */
const OWN_MS = 10_000;
/** How often the store is asked after a start until it answers. */
const LIST_AGAIN_MS = 1_000;
/** When to come back while the request runs elsewhere for the last time: the run shows within it what it does. */
const TRIAL_RETURN_MS = 2_000;

/** Options of {@link Suspects}. */
export interface SuspectOptions {
  readonly self: { readonly id: string; readonly region: string };
  readonly datagrams: Datagrams;
  readonly members: Members;
  readonly fleet: Fleet;
  readonly losses: Losses;
  readonly store: KeyValue;
  readonly leastLeaseMs: number;
  readonly metrics: GatewayMetrics;
}

/** Why a request is not run, for its caller. */
export interface SuspectRefusal {
  readonly code: "endsUpstreams" | "onTrialElsewhere";
  readonly comeBackMs: number;
}

/** See the module. */
export class Suspects extends Task {
  readonly name = "suspects";
  readonly #options: SuspectOptions;
  readonly #book = new EndBook();
  readonly #stored: SuspectStore;
  protected readonly handlers: Handlers<Messages> = {};
  #clock!: Clock;
  #log!: Log;
  #timer: Timer | undefined;
  #own: { readonly rows: readonly EndNews[]; readonly seenMs: number }[] = [];
  #open = true;

  constructor(options: SuspectOptions) {
    super();
    this.#options = options;
    this.#stored = new SuspectStore(
      options.store,
      options.self.id,
      options.leastLeaseMs,
    );
  }

  start(kernel: Kernel): Promise<void> {
    this.#clock = kernel.clock;
    this.#log = kernel.log;
    this.#options.datagrams.on("ends", (params) => this.#onTold(params));
    this.#timer = this.#clock.every(TELL_AGAIN_MS, () => this.#tellAgain());
    void this.#readStore();
    return Promise.resolve();
  }

  close(_deadlineMs: number): Promise<void> {
    this.#open = false;
    this.#timer?.close();
    return Promise.resolve();
  }

  dump(): unknown {
    return this.#book.dump(this.#clock.monoMs());
  }

  /** Whether nothing is suspected, and no request needs to be looked at. */
  get isEmpty(): boolean {
    return this.#book.isEmpty;
  }

  standing(digest: string): Standing {
    return this.#book.standing(digest, this.#clock.monoMs());
  }

  /** What is told of a request's ends when it is refused or runs. */
  ends(digest: string): readonly string[] {
    return this.#book.upstreams(digest);
  }

  /** Takes the leave to run a request that is on trial; else why it may not run. */
  async takeTrial(digest: string): Promise<SuspectRefusal | undefined> {
    const isTaken = await this.#stored.takeTrial(digest);
    this.#options.metrics.count("trials", `taken="${isTaken}"`);
    if (this.standing(digest) === "rejected") return this.refusal(digest);
    return isTaken
      ? undefined
      : { code: "onTrialElsewhere", comeBackMs: TRIAL_RETURN_MS };
  }

  /** What the caller of a rejected request is told. */
  refusal(digest: string): SuspectRefusal {
    const comeBackMs = this.#book.rejectedForMs(digest, this.#clock.monoMs());
    return { code: "endsUpstreams", comeBackMs };
  }

  /**
   * Looks whether an upstream ended under a request that had just begun there, and tells the others. Resolves to the key
   * of the upstream if so.
   */
  async noteLoss(digest: string, loss: Loss): Promise<string | undefined> {
    const { upstream } = loss;
    const lostMs = this.#clock.monoMs();
    // An upstream that leaves ends by plan, whatever still runs there.
    const isLeaving = this.#options.fleet.get(upstream.id)?.state ===
      "draining";
    const reach = await this.#options.losses.look(upstream);
    if (reach !== "refused" || isLeaving || !mayBeCause(loss)) return undefined;
    const nowMs = this.#clock.monoMs();
    const sentMs = lostMs - loss.sentAgoMs;
    const rows = this.#book.noteEnd(digest, upstream.key, sentMs, nowMs);
    if (rows.length > 0) this.#noteNew(digest, rows, upstream.service);
    return rows[0]?.[1] ?? upstream.key;
  }

  /** The VM that a request was handed to says that an upstream ended under it there. */
  noteEndElsewhere(digest: string, endedUpstream: string): void {
    this.#book.adopt(
      [[digest, endedUpstream, 0, false]],
      this.#clock.monoMs(),
    );
  }

  #noteNew(digest: string, rows: readonly EndNews[], service: string): void {
    const nowMs = this.#clock.monoMs();
    const ends = this.#book.ends(digest, nowMs);
    this.#options.metrics.count("request_ends", `service="${service}"`);
    this.#log.warn("upstream ended under", {
      request: digest,
      upstream: rows[0][1],
      ends,
      standing: this.standing(digest),
    });
    this.#own.push({ rows, seenMs: nowMs });
    this.#tell(rows, true);
    if (ends >= ENDS_BEFORE_TRIAL) void this.#writeDown(digest);
  }

  /** A request that was suspected ran and ended nothing. */
  clear(digest: string): void {
    const nowMs = this.#clock.monoMs();
    const ends = this.#book.ends(digest, nowMs);
    if (ends === 0) return;
    const rows = this.#book.clear(digest, nowMs);
    this.#options.metrics.count("suspects_cleared", "");
    this.#log.info("suspect cleared", { request: digest, ends });
    this.#own.push({ rows, seenMs: nowMs });
    this.#tell(rows, true);
    if (ends >= ENDS_BEFORE_TRIAL) void this.#stored.strike(digest);
  }

  async #writeDown(digest: string): Promise<void> {
    const isWritten = await this.#stored.put({
      digest,
      upstreams: this.#book.upstreams(digest),
    });
    if (!isWritten) this.#log.warn("suspect not stored", { request: digest });
  }

  /** What all VMs knew before all of them were started again. */
  async #readStore(): Promise<void> {
    while (this.#open) {
      const stored = await this.#stored.list();
      if (stored) return this.#takeStored(stored);
      await this.#clock.sleep(LIST_AGAIN_MS);
    }
  }

  #takeStored(
    stored: readonly {
      readonly digest: string;
      readonly upstreams: readonly string[];
    }[],
  ): void {
    const rows = stored.flatMap(({ digest, upstreams }) =>
      upstreams.map((key): EndNews => [digest, key, 0, false])
    );
    this.#book.adopt(rows, this.#clock.monoMs());
    if (rows.length > 0) this.#log.info("suspects read", { ends: rows.length });
  }

  #tellAgain(): void {
    const nowMs = this.#clock.monoMs();
    this.#book.sweep(nowMs);
    this.#own = this.#own.filter(({ seenMs }) => nowMs - seenMs < OWN_MS);
    const { members, self } = this.#options;
    if (members.leads[0]?.id === self.id) {
      return this.#tell(this.#book.worst(nowMs), true);
    }
    this.#tell(this.#own.flatMap(({ rows }) => rows), true);
  }

  /**
   * Tells rows to who has to know: a VM tells the leads of its region, and a lead all VMs there, and the leads of other
   * regions if the rows are not from one.
   */
  #tell(rows: readonly EndNews[], isOwn: boolean): void {
    const { members, datagrams, self } = this.#options;
    const ips = members.isLead
      ? [
        ...members.reporters().map(({ ip }) => ip),
        ...(isOwn
          ? members.regions().flatMap(({ digest }) =>
            digest.leads.map(({ ip }) => ip)
          )
          : []),
      ]
      : members.leads.map(({ ip }) => ip);
    for (let at = 0; at < rows.length; at += MOST_ROWS) {
      const told: Told = {
        region: self.region,
        rows: rows.slice(at, at + MOST_ROWS),
      };
      datagrams.send("ends", told, ips);
    }
  }

  #onTold(params: unknown): void {
    const told = decodeTold(params);
    if (!told) return;
    const rows = this.#book.adopt(told.rows, this.#clock.monoMs());
    const { members, self } = this.#options;
    if (rows.length === 0 || !members.isLead) return;
    this.#tell(rows, told.region === self.region);
  }
}

/** A message between VMs. */
interface Told {
  /** Region of the VM that tells. */
  readonly region: string;
  readonly rows: readonly EndNews[];
}

/** Digests and keys of upstreams are shorter; a longer text is not ours. */
const MOST_TEXT = 200;

function isText(value: unknown): value is string {
  return typeof value === "string" && value.length <= MOST_TEXT;
}

function isRow(value: unknown): value is EndNews {
  if (!Array.isArray(value) || value.length !== 4) return false;
  const [digest, key, agoMs, isCleared] = value;
  return isText(digest) && isText(key) && Number.isFinite(agoMs) &&
    agoMs >= 0 && typeof isCleared === "boolean";
}

/** Reads a datagram; `undefined` if it is none of these. */
function decodeTold(params: unknown): Told | undefined {
  const told = params as Partial<Told> | null;
  if (!isText(told?.region) || !Array.isArray(told.rows)) return undefined;
  return { region: told.region, rows: told.rows.filter(isRow) };
}
