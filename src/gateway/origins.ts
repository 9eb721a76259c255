/**
 * Which versions began streams: what this VM saw, what other VMs told it, and what it asks them.
 *
 * @module
 */

import type { Clock, Timer } from "../base/mod.ts";
import {
  type Handlers,
  type Kernel,
  type Messages,
  Task,
} from "../kernel/mod.ts";
import {
  type AskedVms,
  canTellVersion,
  decodeOriginQuery,
  decodeOriginReply,
  decodeOriginRows,
  encodeKnown,
  encodeSeen,
  fitName,
  type KeyedOrigin,
  type OpenStream,
  ORIGIN_TTL_MS,
  originKey,
  OriginOutbox,
  type OriginQuery,
  type OriginReply,
  Origins,
  OwnStreams,
  relayedKey,
  splitKeys,
  toOriginRows,
  vmsToTell,
} from "../region/mod.ts";
import { ORIGIN_PREFIX, VERSIONS_KEY } from "../platform/mod.ts";
import type { Route } from "../routing/mod.ts";
import { waitForNextPoll } from "./next_poll.ts";
import { listOriginPeers } from "./origin_peers.ts";
import { EntryRefresh } from "./entry_refresh.ts";
import { OriginQuestions, type QuestionResult } from "./origin_questions.ts";
import { type OriginAnswer, OriginSearch } from "./origin_search.ts";
import type {
  StreamOriginsOptions,
  UnprovenStream,
} from "./origins_options.ts";
import { StoredOrigins } from "./stored_origins.ts";
import { VersionWatch } from "./version_watch.ts";
import {
  isOnlyOrigin,
  waitUntilRecorded,
  watchedName,
  WatchedRoutes,
} from "./watched_routes.ts";

/** A late reply counts as none, and the asking VM may go on as if nobody knew of the stream. */
const MAX_REPLY_DELAY_MS = 25;
/** How often versions are looked at, and other VMs are told again of streams that run for long. */
const WATCH_INTERVAL_MS = 250;
/** Streams that begin together are stored together. */
const GATHER_MS = 20;
/** Other VMs forget a stream that runs for longer than they keep its origin, so they are told again before. */
const TELL_AGAIN_MS = ORIGIN_TTL_MS / 2;

/** The key of no stream: no digest is that short. */
const NO_KEY = "";

/** Datagrams may be lost, and the other VM may wait for its upstream. */
const RELAY_QUESTIONS = 3;

/** Keeps origins, and exchanges them with other VMs. */
export class StreamOrigins extends Task {
  readonly name = "origins";
  readonly #options: StreamOriginsOptions;
  readonly #origins = new Origins();
  readonly #outbox = new OriginOutbox();
  readonly #ownStreams = new OwnStreams();
  readonly #unproven = new Map<string, UnprovenStream>();
  protected readonly handlers: Handlers<Messages> = {};
  #versions!: VersionWatch;
  #stored!: StoredOrigins;
  #questions!: OriginQuestions;
  #search!: OriginSearch;
  #clock!: Clock;
  #watch: Timer | undefined;
  #sending: Timer | undefined;
  #storing: Timer | undefined;

  constructor(options: StreamOriginsOptions) {
    super();
    this.#options = options;
  }

  start(kernel: Kernel): Promise<void> {
    this.#clock = kernel.clock;
    const { datagrams, store, isFirstStart, members } = this.#options;
    const { fleet, routes } = this.#options;
    this.#versions = new VersionWatch({
      fleet: new WatchedRoutes(fleet, routes),
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
      writesPerS: this.#options.storeWritesPerS,
      sharerCount: () => members.sharerCount(),
      onWritten: () => this.#scheduleStore(),
      clock: this.#clock,
      log: kernel.log,
    });
    this.#questions = new OriginQuestions(datagrams, this.#clock);
    this.#search = new OriginSearch({
      versions: this.#versions,
      questions: this.#questions,
      stored: this.#stored,
      peers: () => listOriginPeers(this.#options),
      entries: new EntryRefresh({
        refresh: this.#options.refreshEntries,
        readsPerS: this.#options.storeReadsPerS,
        sharerCount: () => members.sharerCount(),
        clock: this.#clock,
      }),
      entriesAgeMs: this.#options.entriesAgeMs,
    });
    datagrams.on("began", (params) => this.#onTold(params));
    datagrams.on("whoBegan", (params, ip) => {
      const query = decodeOriginQuery(params);
      if (query) void this.#replyWhenProven(query, ip);
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
    this.#storing?.close();
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

  /** See {@link VersionWatch.waitUntilRecorded}; also of the targets of the stream's route. */
  waitUntilRecorded(
    service: string,
    version: string,
    route: Route,
  ): Promise<void> {
    return waitUntilRecorded(this.#versions, service, version, route);
  }

  /** Notes the targets of routes, which have changed. */
  noteRoutes(): void {
    this.#versions?.noteServed();
  }

  /** Whether a route had, or may have had, other targets when a stream began that still counts. */
  hasMoved(route: Route): boolean {
    return this.#versions.recent(watchedName(route)).length > 1;
  }

  /** Notes that an upstream brought the first event of an attempt, whose caller is connected to this VM. */
  noteBegun(
    attemptId: string,
    service: string,
    version: string,
    route?: Route,
  ): void {
    const nowMs = this.#clock.monoMs();
    const key = originKey(attemptId);
    this.#origins.note(key, version, "self", nowMs, 0, fitName(service));
    const routeName = route && watchedName(route);
    const stream = this.#ownStreams.begin(key, service, version, routeName);
    this.#tellIfDue(key, stream, nowMs);
    this.#scheduleSend();
  }

  /**
   * Notes that a stream has begun whose upstream is asked which of its processes did; `noted` resolves when the origin is
   * noted. Nobody is told before.
   */
  noteUnproven(
    attemptId: string,
    isRelayed: boolean,
    noted: Promise<void>,
  ): void {
    const key = isRelayed ? relayedKey(attemptId) : originKey(attemptId);
    this.#unproven.set(key, { noted, isRelayed });
    void noted.finally(() => this.#unproven.delete(key));
  }

  /**
   * Notes which version began an attempt that another VM relayed here; `undefined` if it can't be told. Only that VM asks
   * for it, and knows whether its caller got any of the answer.
   */
  noteRelayed(attemptId: string, version: string | undefined): void {
    const key = relayedKey(attemptId);
    this.#origins.note(key, version, "self", this.#clock.monoMs());
  }

  /** Asks the VM that an attempt was relayed to which version began it there. */
  async askRelay(ip: string, attemptId: string): Promise<QuestionResult> {
    const query = { service: "", key: relayedKey(attemptId) };
    const stage = { own: [], elsewhere: [ip] };
    return await this.#questions.askInTurn(
      query,
      Array<AskedVms>(RELAY_QUESTIONS).fill(stage),
    );
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

  /** The only version of a service that served lately; `undefined` if there were others, or this VM can't know. */
  onlyVersion(service: string): string | undefined {
    const recent = this.#versions.recent(service);
    return this.#search.isSure && recent.length === 1 ? recent[0] : undefined;
  }

  /**
   * Finds the version that began an attempt, by asking other VMs if this one doesn't know it. Without an id it finds which
   * versions may have begun it.
   */
  async find(
    attemptId: string | undefined,
    service: string,
    route?: Route,
  ): Promise<OriginAnswer> {
    const key = attemptId === undefined ? NO_KEY : originKey(attemptId);
    await this.#unproven.get(key)?.noted;
    const nowMs = this.#clock.monoMs();
    const found = this.#origins.find(key, nowMs);
    this.#origins.renew(key, nowMs);
    if (found) return found;
    const routeName = route && watchedName(route);
    const answer = await this.#search.run(key, service, routeName);
    if (answer.type === "known") {
      const { version, source, ageMs, service: began } = answer;
      const noteMs = this.#clock.monoMs();
      this.#origins.note(key, version, source, noteMs, ageMs, began);
    }
    return answer;
  }

  #tick(): void {
    const nowMs = this.#clock.monoMs();
    for (const [key, stream] of this.#ownStreams.open) {
      this.#origins.renew(key, nowMs);
      this.#versions.noteRunning(stream.service, stream.version);
      this.#tellIfDue(key, stream, nowMs);
    }
    this.#versions.tick();
    this.#store();
    this.#scheduleSend();
  }

  /** Stores the origins of streams soon, as this VM may end together with all that it tells. */
  #scheduleStore(): void {
    const delayMs = Math.max(GATHER_MS, this.#stored.dueInMs);
    this.#storing ??= this.#clock.after(delayMs, () => this.#store());
  }

  #store(): void {
    this.#storing?.close();
    this.#storing = undefined;
    const nowMs = this.#clock.monoMs();
    this.#stored.tick(() => toOriginRows(this.#untoldStreams(nowMs)));
  }

  /** The streams that may be taken up and whose version can't be known without being told. */
  *#untoldStreams(nowMs: number): Iterable<KeyedOrigin> {
    for (const [key, stream] of this.#ownStreams.all(nowMs)) {
      const { service, version } = stream;
      if (!isOnlyOrigin(this.#versions, stream)) {
        yield [key, version, fitName(service)];
      }
    }
  }

  /** Queues a stream that other VMs are to be told of. If its version is the service's only one, they know it anyway. */
  #tellIfDue(key: string, stream: OpenStream, nowMs: number): void {
    const { service, version, toldMs } = stream;
    if (nowMs - toldMs < TELL_AGAIN_MS || !canTellVersion(version)) return;
    if (isOnlyOrigin(this.#versions, stream)) return;
    stream.toldMs = nowMs;
    this.#outbox.add(key, version, nowMs, fitName(service));
    this.#scheduleStore();
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
    const ips = vmsToTell(listOriginPeers(this.#options));
    const rows = this.#outbox.take(ips.length, this.#clock.monoMs());
    metrics.count("origins", 'event="told"');
    datagrams.send("began", rows, ips);
  }

  #onTold(params: unknown): void {
    const nowMs = this.#clock.monoMs();
    for (const [version, keys, service] of decodeOriginRows(params)) {
      for (const key of splitKeys(keys)) {
        const began = version ?? undefined;
        this.#origins.note(key, began, "told", nowMs, 0, service);
      }
    }
  }

  async #replyWhenProven(query: OriginQuery, ip: string): Promise<void> {
    const stream = this.#unproven.get(query.key);
    if (stream?.isRelayed) await stream.noted;
    else if (stream) {
      await Promise.race([stream.noted, this.#clock.sleep(MAX_REPLY_DELAY_MS)]);
    }
    this.#reply(query, ip);
  }

  #reply({ question, service, route, key }: OriginQuery, ip: string): void {
    const { datagrams, metrics } = this.#options;
    const nowMs = this.#clock.monoMs();
    const found = this.#origins.find(key, nowMs);
    this.#origins.renew(key, nowMs);
    const isAmbiguous = found?.type === "ambiguous" || this.#unproven.has(key);
    const reply: OriginReply = {
      question,
      seen: encodeSeen(this.#versions.recent(service)),
      seenTargets: encodeSeen(route ? this.#versions.recent(route) : []),
      knowsAll: this.#search.isSure,
      ...encodeKnown(found),
      ...(isAmbiguous ? { isAmbiguous: true } : {}),
    };
    metrics.count("origins", `event="asked",known="${found !== undefined}"`);
    datagrams.send("beganBy", reply, [ip]);
  }
}
