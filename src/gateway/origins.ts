/**
 * Which versions began streams: what this VM saw, what other VMs told it, and what it asks them.
 *
 * @module
 */

import type { KeyValue } from "../adapters/mod.ts";
import type { Clock, Timer } from "../base/mod.ts";
import {
  type Handlers,
  type Kernel,
  type Messages,
  Task,
} from "../kernel/mod.ts";
import {
  canTellVersion,
  decodeOriginQuery,
  decodeOriginReply,
  decodeOriginRows,
  encodeSeen,
  type FoundOrigin,
  type OpenStream,
  ORIGIN_TTL_MS,
  originKey,
  OriginOutbox,
  type OriginPeers,
  type OriginQuery,
  type OriginReply,
  Origins,
  OwnStreams,
  splitKeys,
  toOriginRows,
  vmsToAsk,
  vmsToTell,
} from "../region/mod.ts";
import { ORIGIN_PREFIX, VERSIONS_KEY } from "../platform/mod.ts";
import type { Fleet } from "../routing/mod.ts";
import type { Datagrams } from "./datagrams.ts";
import type { Members } from "./members.ts";
import type { GatewayMetrics } from "./metrics.ts";
import { waitForNextPoll } from "./next_poll.ts";
import { OriginQuestions } from "./origin_questions.ts";
import { StoredOrigins } from "./stored_origins.ts";
import { VersionWatch } from "./version_watch.ts";

/** Options of {@link StreamOrigins}. */
export interface StreamOriginsOptions {
  readonly self: {
    readonly ip: string;
    readonly region: string;
    /** Distinguishes this process from all others, also from those of the same VM. */
    readonly processId: string;
  };
  readonly datagrams: Pick<Datagrams, "on" | "send">;
  readonly members: Pick<
    Members,
    "isLead" | "order" | "vmCount" | "vmsForCallers" | "otherRegions"
  >;
  readonly fleet: Pick<Fleet, "services" | "versionsOf">;
  readonly store: KeyValue;
  readonly leastLeaseMs: number;
  /** See {@link VersionWatchOptions.isFirstStart}. */
  readonly isFirstStart: boolean;
  readonly metrics: GatewayMetrics;
  /** Time since this VM's copy of the upstreams' entries was last known to be the store's. */
  readonly entriesAgeMs: () => number;
}

/** What is known of the origin of a stream that a caller takes up again. */
export type OriginAnswer = FoundOrigin | UnknownOrigin;

/** What is known instead of an origin. */
interface UnknownOrigin {
  readonly type: "unknown";
  /** The versions of the service that may have begun it. */
  readonly seen: readonly string[];
  /** Whether there may be others: neither this VM nor one that it asked can know all that served lately. */
  readonly isIncomplete: boolean;
  /** How long this VM has watched the versions of upstreams. */
  readonly watchedMs: number;
  /** How many other VMs told what they have seen. */
  readonly replies: number;
}

/** How often versions are looked at, and other VMs are told again of streams that run for long. */
const WATCH_INTERVAL_MS = 250;
/** A version may have come since this VM's copy of the entries was last known to be the store's. */
const FRESH_ENTRIES_MS = 2_000;
/** How long a stream waits for the versions recorded in the store: a round trip to another region and some more. */
const RECORD_TIMEOUT_MS = 500;
/** Other VMs forget a stream that runs for longer than they keep its origin, so they are told again before. */
const TELL_AGAIN_MS = ORIGIN_TTL_MS / 2;

/** The key of no stream: no digest is that short. */
const NO_KEY = "";

/** Keeps origins, and exchanges them with other VMs. */
export class StreamOrigins extends Task {
  readonly name = "origins";
  readonly #options: StreamOriginsOptions;
  readonly #origins = new Origins();
  readonly #outbox = new OriginOutbox();
  readonly #ownStreams = new OwnStreams();
  protected readonly handlers: Handlers<Messages> = {};
  #versions!: VersionWatch;
  #stored!: StoredOrigins;
  #questions!: OriginQuestions;
  #clock!: Clock;
  #watch: Timer | undefined;
  #sending: Timer | undefined;

  constructor(options: StreamOriginsOptions) {
    super();
    this.#options = options;
  }

  start(kernel: Kernel): Promise<void> {
    this.#clock = kernel.clock;
    const { datagrams, fleet, store, isFirstStart, members } = this.#options;
    this.#versions = new VersionWatch({
      fleet,
      store,
      key: VERSIONS_KEY,
      isFirstStart,
      isWriter: () => members.isLead,
      clock: this.#clock,
      log: kernel.log,
    });
    this.#stored = new StoredOrigins({
      store,
      prefix: ORIGIN_PREFIX,
      processId: this.#options.self.processId,
      leastLeaseMs: this.#options.leastLeaseMs,
      vmCount: () => members.vmCount(),
      clock: this.#clock,
      log: kernel.log,
    });
    this.#questions = new OriginQuestions(datagrams, this.#clock);
    datagrams.on("began", (params) => this.#onTold(params));
    datagrams.on("whoBegan", (params, ip) => {
      const query = decodeOriginQuery(params);
      if (query) this.#reply(query, ip);
    });
    datagrams.on("beganBy", (params, ip) => {
      const reply = decodeOriginReply(params);
      if (reply) this.#questions.onReply(reply, ip);
    });
    this.#watch = this.#clock.every(WATCH_INTERVAL_MS, () => this.#tick());
    this.#versions.tick();
    return Promise.resolve();
  }

  /** Tells the other VMs what they have not been told yet: callers will come back to them. */
  async close(_deadlineMs: number): Promise<void> {
    this.#watch?.close();
    this.#versions.close();
    this.#stored.close();
    this.#sending?.close();
    if (this.#outbox.size === 0) return;
    this.#sendBatch();
    // Node sends a datagram in a later turn, by which the socket would be closed.
    await waitForNextPoll();
  }

  dump(): unknown {
    return {
      origins: this.#origins.size,
      open: this.#ownStreams.open.size,
      stored: this.#stored.dump(),
      waiting: this.#outbox.size,
      asking: this.#questions.size,
      versions: this.#versions.dump(),
    };
  }

  /** Notes that an upstream brought the first event of an attempt, whose caller is connected to this VM. */
  noteBegun(attemptId: string, service: string, version: string): void {
    const nowMs = this.#clock.monoMs();
    const key = originKey(attemptId);
    this.#origins.note(key, version, "self", nowMs);
    const stream = this.#ownStreams.begin(key, service, version);
    this.#tellIfDue(key, stream, nowMs);
    this.#scheduleSend();
  }

  /**
   * Notes that it can't be told which version began an attempt: the upstream's entry named another one when it broke off,
   * and the upstream may have been replaced before.
   */
  noteDoubtful(attemptId: string): void {
    const nowMs = this.#clock.monoMs();
    const key = originKey(attemptId);
    this.#origins.note(key, undefined, "self", nowMs);
    this.#ownStreams.doubt(key);
    this.#outbox.add(key, null, nowMs);
    this.#scheduleSend();
  }

  /** Notes that an answer ended, for its caller; nobody takes up one that is whole. */
  noteEnded(attemptId: string, isWhole: boolean): void {
    const key = originKey(attemptId);
    const nowMs = this.#clock.monoMs();
    if (!this.#ownStreams.end(key, isWhole, nowMs)) return;
    this.#origins.renew(key, nowMs);
    if (isWhole) this.#outbox.drop(key);
  }

  /**
   * Finds the version that began an attempt, by asking other VMs if this one doesn't know it. Without an id it finds which
   * versions may have begun it.
   */
  async find(
    attemptId: string | undefined,
    service: string,
  ): Promise<OriginAnswer> {
    const nowMs = this.#clock.monoMs();
    const key = attemptId === undefined ? NO_KEY : originKey(attemptId);
    const found = this.#origins.find(key, nowMs);
    this.#origins.renew(key, nowMs);
    if (found) return found;
    if (this.#isSure && this.#versions.recent(service).length < 2) {
      return this.#describeUnknown(service, [], 0, true);
    }
    const answer = await this.#questions.askInTurn(
      { service, key },
      vmsToAsk(this.#peers()),
    );
    if (answer.type === "unknown") {
      const isKnownThere = answer.sureReplies > 0;
      if (!isKnownThere) await this.#versions.waitForRecord(RECORD_TIMEOUT_MS);
      const { seen, replies } = answer;
      const unknown = this.#describeUnknown(
        service,
        seen,
        replies,
        isKnownThere,
      );
      const isOnly = unknown.seen.length < 2 && !unknown.isIncomplete;
      return isOnly ? unknown : await this.#stored.find(key) ?? unknown;
    }
    if (answer.type === "known") {
      const { version, ageMs } = answer;
      this.#origins.note(key, version, "asked", this.#clock.monoMs(), ageMs);
    }
    return answer;
  }

  /** Whether this VM knows all versions that served lately, up to now. */
  get #isSure(): boolean {
    return this.#options.entriesAgeMs() < FRESH_ENTRIES_MS &&
      this.#versions.knowsAll;
  }

  #describeUnknown(
    service: string,
    seenElsewhere: readonly string[],
    replies: number,
    isKnownThere: boolean,
  ): UnknownOrigin {
    const seenHere = this.#versions.recent(service);
    return {
      type: "unknown",
      seen: [...new Set([...seenHere, ...seenElsewhere])],
      isIncomplete: !isKnownThere && !this.#isSure,
      watchedMs: this.#versions.watchedMs,
      replies,
    };
  }

  #tick(): void {
    const nowMs = this.#clock.monoMs();
    for (const [key, stream] of this.#ownStreams.open) {
      this.#origins.renew(key, nowMs);
      this.#versions.noteRunning(stream.service, stream.version);
      this.#tellIfDue(key, stream, nowMs);
    }
    this.#versions.tick();
    this.#stored.tick(() => toOriginRows(this.#untoldStreams(nowMs)));
    this.#scheduleSend();
  }

  /** The streams that may be taken up and whose version can't be known without being told. */
  *#untoldStreams(
    nowMs: number,
  ): Iterable<readonly [key: string, version: string | null]> {
    for (const [key, { service, version }] of this.#ownStreams.all(nowMs)) {
      if (!this.#isOnlyVersion(service, version)) yield [key, version];
    }
  }

  #isOnlyVersion(service: string, version: string | null): boolean {
    const recent = this.#versions.recent(service);
    return recent.length === 1 && recent[0] === version;
  }

  /** Queues a stream that other VMs are to be told of. If its version is the service's only one, they know it anyway. */
  #tellIfDue(key: string, stream: OpenStream, nowMs: number): void {
    const { service, version, toldMs } = stream;
    if (nowMs - toldMs < TELL_AGAIN_MS || !canTellVersion(version)) return;
    if (this.#isOnlyVersion(service, version)) return;
    stream.toldMs = nowMs;
    this.#outbox.add(key, version, nowMs);
  }

  #scheduleSend(): void {
    const { dueMs } = this.#outbox;
    if (this.#sending || dueMs === Infinity) return;
    const delayMs = Math.max(1, dueMs - this.#clock.monoMs());
    this.#sending = this.#clock.after(delayMs, () => this.#send());
  }

  #send(): void {
    this.#sending = undefined;
    this.#sendBatch();
    this.#scheduleSend();
  }

  #sendBatch(): void {
    const { datagrams, metrics } = this.#options;
    const ips = vmsToTell(this.#peers());
    const rows = this.#outbox.take(ips.length, this.#clock.monoMs());
    metrics.count("origins", 'event="told"');
    datagrams.send("began", rows, ips);
  }

  #peers(): OriginPeers {
    const { members, self } = this.#options;
    return {
      self: self.ip,
      vmCount: members.vmCount(),
      own: {
        // Standbys too: with few holders, the loss of many VMs at once takes all copies or none.
        leads: members.order.map(({ ip }) => ip).filter((ip) => ip !== self.ip),
        others: members.vmsForCallers(self.region).map(({ ip }) => ip),
      },
      elsewhere: members.otherRegions().map(({ digest }) => ({
        region: digest.from.region,
        leads: digest.leads.map(({ ip }) => ip),
        others: digest.ready,
      })),
    };
  }

  #onTold(params: unknown): void {
    const nowMs = this.#clock.monoMs();
    for (const [version, keys] of decodeOriginRows(params)) {
      for (const key of splitKeys(keys)) {
        this.#origins.note(key, version ?? undefined, "told", nowMs);
      }
    }
  }

  #reply({ question, service, key }: OriginQuery, ip: string): void {
    const { datagrams, metrics } = this.#options;
    const nowMs = this.#clock.monoMs();
    const found = this.#origins.find(key, nowMs);
    this.#origins.renew(key, nowMs);
    const reply: OriginReply = {
      question,
      seen: encodeSeen(this.#versions.recent(service)),
      knowsAll: this.#versions.knowsAll,
      ...(found?.type === "known"
        ? { version: found.version, ageMs: Math.round(found.ageMs) }
        : {}),
      ...(found?.type === "ambiguous" ? { isAmbiguous: true } : {}),
    };
    metrics.count("origins", `event="asked",known="${found !== undefined}"`);
    datagrams.send("beganBy", reply, [ip]);
  }
}
