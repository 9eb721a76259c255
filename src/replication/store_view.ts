/**
 * This VM's view of the configuration, the evacuations and the upstreams. It comes from the store, or from another VM
 * while the store does not serve this one.
 *
 * @module
 */

import type { Entry } from "../adapters/mod.ts";
import type { Clock, Timer } from "../base/mod.ts";
import { type Handlers, type Kernel, type Log, Task } from "../kernel/mod.ts";
import {
  CONFIG_KEY,
  decodeEvacuationKey,
  hashApiKeys,
  OPERATOR_PREFIX,
  UPSTREAM_PREFIX,
} from "../platform/mod.ts";
import { Fleet, type GatewayConfig } from "../routing/mod.ts";
import type { ReplicaState, ReplicaStates, VmState } from "../region/mod.ts";
import {
  ConfigInForce,
  type ConfigSource,
  FROM_STORE,
} from "./config_in_force.ts";
import { Follower } from "./follower.ts";
import type { FollowedStore } from "./follower_options.ts";
import { KeptEntries } from "./kept_entries.ts";
import type {
  AdoptOutcome,
  ChangeCause,
  News,
  NewsRequest,
} from "./replica.ts";
import { RestoreTimes } from "./restore_times.ts";
import { upstreamContentOf } from "./upstream_content.ts";
import type { NewsTopic, StoreViewMessages } from "./store_view_messages.ts";
import { UpstreamView } from "./upstream_view.ts";

/** Options of {@link StoreView}. */
export interface StoreViewOptions {
  readonly vmId: string;
  readonly store: FollowedStore;
  /** Region of each failure domain. */
  readonly failureDomains: Readonly<Record<string, string>>;
  /** Whether this VM polls the store for changes, on behalf of other VMs of its region too. */
  readonly isReader: () => boolean;
  /** How long a poll for configuration changes waits; {@link OPERATOR_POLL_WAIT_MS} if absent. */
  readonly operatorPollWaitMs?: number;
}

/**
 * Default time that a poll for configuration changes waits. A connection that is dead is noticed only after it; with the
 * margin below and a second for another VM to step in, a change is in force within 5 s.
 */
const OPERATOR_POLL_WAIT_MS = 3_000;
/** Margin for the way of an operators' poll, and for a process that is late. */
const OPERATOR_ANSWER_MARGIN_MS = 700;
/**
 * A VM that last agreed with the store longer ago does not know whether its configuration is the newest. A poll of the
 * store that finds no change takes 3 s and some way, so a VM that is alone in its region is this far behind at most.
 */
const MAX_UNSURE_MS = 3_900;
/** The same for upstreams. Each writes about every second, so an answer comes at once. */
const UPSTREAM_POLL_WAIT_MS = 1_000;
/** Usually 1.2 s of pause and some tens of ms pass between answers; the reader's own call times out only after 3 s. */
const MAX_UPSTREAM_ANSWER_AGE_MS = 2_500;
/**
 * Pause between polls for upstream changes. Each upstream writes every 1.2 s; without a pause every write would cost
 * every VM a call. The pause delays changes, so it must be shorter than the seconds for which a draining upstream still
 * serves.
 */
const UPSTREAM_POLL_PAUSE_MS = 1_200;
/** How often kept entries are checked; one is removed late by up to this much. */
const SWEEP_INTERVAL_MS = 500;

/** Follows the store's entries and holds their decoded state: `config` and `fleet` are read on each request. */
export class StoreView extends Task<StoreViewMessages> {
  readonly name = "beliefs";
  readonly fleet: Fleet;
  /** Called when a configuration has come in force. */
  onConfig = () => {};
  /** When the store came back from an older copy. */
  restores!: RestoreTimes;
  readonly #options: StoreViewOptions;
  readonly #evacuated = new Set<string>();
  /** Evacuations that the store has lost, by their keys. */
  readonly #kept = new KeptEntries();
  #failureDomains: Readonly<Record<string, string>>;
  #config!: ConfigInForce;
  /** Where the entry that is being applied comes from. */
  #source: ConfigSource = FROM_STORE;
  #upstreams!: UpstreamView;
  #followers!: Readonly<Record<NewsTopic, Follower>>;
  #clock!: Clock;
  #log!: Log;
  #timer: Timer | undefined;

  protected readonly handlers: Handlers<StoreViewMessages> = {
    news: ({ matter: topic, ...request }) => this.#newsFor(topic, request),
    adopt: ({ matter: topic, news, from }) => this.#adopt(topic, news, from),
    config: () => this.#config.news ?? null,
    adoptConfig: ({ news, version, from }) =>
      this.#config.adopt(news, version, from),
  };

  constructor(options: StoreViewOptions) {
    super();
    this.#options = options;
    this.#failureDomains = options.failureDomains;
    this.fleet = new Fleet((domain) => this.#failureDomains[domain]);
  }

  /** The newest configuration; `undefined` until one is known. */
  get config(): GatewayConfig | undefined {
    return this.#config.config;
  }

  /** What a log line of a refusal states of the configuration that decided it. */
  get configFields(): Readonly<Record<string, unknown>> {
    return this.#config.refusalFields(this.agreedAgoMs("operators"));
  }

  /** The version of the configuration that the store holds, as far as this VM knows; `undefined` if none can be read. */
  get storedConfigVersion(): number | undefined {
    return this.#config.storedVersion;
  }

  /** The state of this VM's copies, which it announces to others. */
  get copies(): ReplicaStates {
    return {
      operators: this.#followers.operators.state,
      upstreams: this.#followers.upstreams.state,
    };
  }

  /** Time since the store itself last answered this VM's calls for the configuration. */
  get configAgeMs(): number {
    return this.#clock.monoMs() - this.#followers.operators.answeredMonoMs;
  }

  /** See {@link Follower.notePeer}. */
  notePeer(topic: NewsTopic, state: ReplicaState, isServed: boolean): boolean {
    return this.#followers[topic].notePeer(state, isServed);
  }

  /** Notes that an upstream said that it leaves, in an answer to this VM or, as `from` tells, to another one. */
  noteLeaving(
    key: string,
    source: { readonly from: string } | { readonly attempt: string },
  ): void {
    if (!this.fleet.noteLeaving(key, this.#clock.monoMs())) return;
    this.#log.info("upstream says it leaves", { upstream: key, ...source });
  }

  /** The request by which this VM asks another one for what it lacks. */
  newsRequest(topic: NewsTopic): NewsRequest {
    return this.#followers[topic].newsRequest;
  }

  /** What this VM tells others of the configuration in force; nothing if the store's copy tells it. */
  get announcedConfig(): Pick<VmState, "configVersion"> {
    return this.#config.announced;
  }

  /** Whether another VM announced a version that this VM has to ask for. */
  isNewerConfig(version: unknown): boolean {
    return this.#config.isNewer(version);
  }

  /** What this VM tells others of upstreams that leave; nothing if none does. */
  get announcedLeaving(): Pick<VmState, "leavingUpstreams"> {
    const leavingUpstreams = this.fleet.announcedLeaving;
    return leavingUpstreams.length > 0 ? { leavingUpstreams } : {};
  }

  /** Time since this VM's copy of a topic was last known to be the store's; `Infinity` if it never was. */
  agreedAgoMs(topic: NewsTopic): number {
    return this.#clock.monoMs() - this.#followers[topic].agreedMonoMs;
  }

  /** Asks the store for all topics now. Returns whether the copies were the store's at moments since the call. */
  async refresh(): Promise<boolean> {
    const { operators, upstreams } = this.#followers;
    const results = await Promise.all([
      operators.refresh(),
      upstreams.refresh(),
    ]);
    return results.every((isCurrent) => isCurrent);
  }

  /**
   * Whether this VM can rule out that the store holds a newer configuration than the one in force here. Callers don't come
   * back after some refusals, so a VM that can't refuses for now: another VM may have the newer one.
   */
  get isConfigNewest(): boolean {
    return this.agreedAgoMs("operators") < MAX_UNSURE_MS &&
      !this.#followers.operators.isBehind;
  }

  /** Applies changed settings. Upstreams of a new or moved failure domain are used there from now on. */
  setFailureDomains(failureDomains: Readonly<Record<string, string>>): void {
    this.#failureDomains = failureDomains;
    this.#upstreams.reapply();
  }

  /** Whether the store currently answers this VM's polls, all of them: another VM has to read what it can't. */
  get isServed(): boolean {
    const { operators, upstreams } = this.#followers;
    return operators.isAnswered && upstreams.isAnswered;
  }

  start(kernel: Kernel): Promise<void> {
    this.#clock = kernel.clock;
    this.#log = kernel.log;
    const { store, vmId } = this.#options;
    const operatorWaitMs = this.#options.operatorPollWaitMs ??
      OPERATOR_POLL_WAIT_MS;
    this.#config = new ConfigInForce({
      vmId,
      clock: this.#clock,
      log: this.#log,
      describeStore: () => this.#describeStore(),
      onInForce: () => this.onConfig(),
    });
    this.restores = new RestoreTimes(this.#clock, () => {
      const { operators, upstreams } = this.#followers;
      return Math.max(operators.restoredMonoMs, upstreams.restoredMonoMs);
    });
    this.#upstreams = new UpstreamView({
      fleet: this.fleet,
      clock: this.#clock,
      log: this.#log,
      troubles: () => this.#followers.upstreams,
      entries: () => this.#followers.upstreams.entries,
      coldMsOf: (service) => this.config?.service(service)?.coldMs ?? 0,
    });
    this.#followers = {
      operators: new Follower({
        store,
        prefix: OPERATOR_PREFIX,
        clock: this.#clock,
        log: this.#log,
        waitMs: operatorWaitMs,
        pauseMs: 0,
        maxAnswerAgeMs: operatorWaitMs + OPERATOR_ANSWER_MARGIN_MS,
        isReader: this.#options.isReader,
        contentOf: ({ value }) => value,
        redact: hashApiKeys,
        onPut: (entry) => this.#onOperatorPut(entry),
        onDelete: (...deletion) => this.#onOperatorDelete(...deletion),
      }),
      upstreams: new Follower({
        store,
        prefix: UPSTREAM_PREFIX,
        clock: this.#clock,
        log: this.#log,
        waitMs: UPSTREAM_POLL_WAIT_MS,
        pauseMs: UPSTREAM_POLL_PAUSE_MS,
        maxAnswerAgeMs: MAX_UPSTREAM_ANSWER_AGE_MS,
        isReader: this.#options.isReader,
        contentOf: upstreamContentOf,
        onAgreed: () => this.#upstreams.keepCold(),
        onPut: (entry, cause) => this.#upstreams.put(entry, cause),
        onDelete: (key, cause) => this.#upstreams.delete(key, cause),
      }),
    };
    this.#followers.operators.start();
    this.#followers.upstreams.start();
    this.#timer = this.#clock.every(
      SWEEP_INTERVAL_MS,
      () => this.#sweep(),
    );
    return Promise.resolve();
  }

  close(_deadlineMs: number): Promise<void> {
    this.#timer?.close();
    this.#followers.operators.close();
    this.#followers.upstreams.close();
    return Promise.resolve();
  }

  dump(): unknown {
    const nowMs = this.#clock.monoMs();
    return {
      configVersion: this.config?.version,
      config: this.#config.dump(),
      copies: this.copies,
      agreedAgoMs: {
        operators: this.agreedAgoMs("operators"),
        upstreams: this.agreedAgoMs("upstreams"),
      },
      isServed: this.isServed,
      heardAgoMs: {
        operators: nowMs - this.#followers.operators.answeredMonoMs,
        upstreams: nowMs - this.#followers.upstreams.answeredMonoMs,
      },
      restoredAgoMs: nowMs - this.restores.latestMonoMs,
      kept: {
        evacuations: this.#kept.dump(),
        upstreams: this.#upstreams.dump(),
      },
      fleet: this.fleet.dump(),
    };
  }

  #newsFor(topic: NewsTopic, request: NewsRequest): News {
    const news = this.#followers[topic].newsFor(request);
    const configOrigin = topic === "operators"
      ? this.#config.origin
      : undefined;
    return configOrigin ? { ...news, configOrigin } : news;
  }

  #adopt(topic: NewsTopic, news: News, from: string): AdoptOutcome {
    const knownRev = this.#followers[topic].state.rev;
    const outcome = this.#withSource(
      { from, origin: news.configOrigin },
      () => this.#followers[topic].adopt(news),
    );
    if (outcome !== "stale") {
      const event = outcome === "applied"
        ? "learnt from a peer"
        : "differs from a peer";
      this.#log.info(event, {
        matter: topic,
        from,
        rev: news.state.rev,
        knownRev,
        entries: news.entries.length,
        deleted: news.deleted.length,
      });
    }
    return outcome;
  }

  /** Applies entries of another VM; what is not from one is from the store. */
  #withSource<T>(source: ConfigSource, apply: () => T): T {
    this.#source = source;
    try {
      return apply();
    } finally {
      this.#source = FROM_STORE;
    }
  }

  /** Tells whether this VM could have read the store itself. */
  #describeStore(): Readonly<Record<string, unknown>> {
    const ageMs = this.configAgeMs;
    return {
      isReader: this.#options.isReader(),
      storeAnsweredAgoMs: ageMs < Infinity ? Math.round(ageMs) : undefined,
    };
  }

  #onOperatorPut(entry: Entry): void {
    const domain = decodeEvacuationKey(entry.key);
    if (domain !== undefined) {
      this.#kept.noteWritten(entry.key);
      return this.#setEvacuated(domain, true, entry.rev);
    }
    if (entry.key !== CONFIG_KEY) return;
    this.#config.applyStored(entry, this.#source);
  }

  #onOperatorDelete(key: string, cause: ChangeCause, rev: number): void {
    if (key === CONFIG_KEY) return this.#config.noteDeleted();
    const domain = decodeEvacuationKey(key);
    if (domain === undefined) return;
    const { restoredMonoMs } = this.#followers.operators;
    const nowMs = this.#clock.monoMs();
    const isKept = cause === "restored" &&
      this.#kept.noteLost(key, restoredMonoMs, nowMs);
    if (!isKept) this.#setEvacuated(domain, false, rev);
  }

  #setEvacuated(domain: string, evacuated: boolean, rev: number): void {
    if (evacuated) this.#evacuated.add(domain);
    else if (this.#evacuated.delete(domain)) {
      this.#upstreams.noteTakenBack(domain, rev);
    }
    this.fleet.setEvacuated(new Set(this.#evacuated));
    this.#log.info(evacuated ? "evacuated" : "evacuation over", {
      failureDomain: domain,
      rev,
    });
  }

  #sweep(): void {
    this.#upstreams.sweep();
    const { rev } = this.#followers.upstreams.state;
    for (const key of this.#kept.takeDue(this.#clock.monoMs()).lost) {
      this.#setEvacuated(decodeEvacuationKey(key)!, false, rev);
    }
  }
}
