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
  decodeConfig,
  decodeEvacuationKey,
  hashApiKeys,
  OPERATOR_PREFIX,
  UPSTREAM_PREFIX,
} from "../platform/mod.ts";
import { Fleet, type GatewayConfig } from "../routing/mod.ts";
import type { ReplicaState, ReplicaStates, VmState } from "../region/mod.ts";
import { type FollowedStore, Follower } from "./follower.ts";
import { KeptEntries } from "./kept_entries.ts";
import type {
  AdoptOutcome,
  ChangeCause,
  News,
  NewsRequest,
} from "./replica.ts";
import { upstreamContentOf } from "./upstream_content.ts";
import { UpstreamView } from "./upstream_view.ts";

/** The two sets of entries that are followed. */
export type NewsTopic = keyof ReplicaStates;

/** Messages of the service; its name is `beliefs`. */
export type StoreViewMessages = {
  /** Returns what another VM lacks. */
  news: {
    in: NewsRequest & { readonly matter: NewsTopic };
    out: News;
  };
  /** Applies news from another VM. */
  adopt: {
    in: {
      readonly matter: NewsTopic;
      readonly news: News;
      readonly from: string;
    };
    out: AdoptOutcome;
  };
};

/** Options of {@link StoreView}. */
export interface StoreViewOptions {
  readonly store: FollowedStore;
  /** Region of each failure domain. */
  readonly failureDomains: Readonly<Record<string, string>>;
  /** Whether this VM polls the store for changes, on behalf of other VMs of its region too. */
  readonly isReader: () => boolean;
  /** How long a poll for configuration changes waits; {@link OPERATOR_POLL_WAIT_MS} if absent. */
  readonly operatorPollWaitMs?: number;
}

/**
 * Default time that a poll for configuration changes waits. A dead connection is noticed only after it, but another VM
 * announces a newer revision within a second.
 */
const OPERATOR_POLL_WAIT_MS = 4_000;
/** The same for upstreams. Each writes about every second, so an answer comes at once. */
const UPSTREAM_POLL_WAIT_MS = 1_000;
/**
 * Other VMs regard a reader as cut off from the store if its last answer is older than this. Usually 1.2 s of pause and
 * some tens of ms pass between answers; the reader's own call times out only after 3 s.
 */
const MAX_ANSWER_AGE_MS = 2_500;
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
  readonly #options: StoreViewOptions;
  readonly #evacuated = new Set<string>();
  /** Evacuations that the store has lost, by their keys. */
  readonly #kept = new KeptEntries();
  #failureDomains: Readonly<Record<string, string>>;
  #config: GatewayConfig | undefined;
  #upstreams!: UpstreamView;
  #followers!: Readonly<Record<NewsTopic, Follower>>;
  #clock!: Clock;
  #log!: Log;
  #timer: Timer | undefined;

  protected readonly handlers: Handlers<StoreViewMessages> = {
    news: ({ matter: topic, ...request }) =>
      this.#followers[topic].newsFor(request),
    adopt: ({ matter: topic, news, from }) => this.#adopt(topic, news, from),
  };

  constructor(options: StoreViewOptions) {
    super();
    this.#options = options;
    this.#failureDomains = options.failureDomains;
    this.fleet = new Fleet((domain) => this.#failureDomains[domain]);
  }

  /** The newest configuration; `undefined` until one is known. */
  get config(): GatewayConfig | undefined {
    return this.#config;
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

  /** What this VM tells others of upstreams that leave; nothing if none does. */
  get announcedLeaving(): Pick<VmState, "leavingUpstreams"> {
    const leavingUpstreams = this.fleet.announcedLeaving;
    return leavingUpstreams.length > 0 ? { leavingUpstreams } : {};
  }

  /** Time since this VM's copy of a topic was last known to be the store's; `Infinity` if it never was. */
  agreedAgoMs(topic: NewsTopic): number {
    return this.#clock.monoMs() - this.#followers[topic].agreedMonoMs;
  }

  /** Applies changed settings. Upstreams of a new or moved failure domain are used there from now on. */
  setFailureDomains(failureDomains: Readonly<Record<string, string>>): void {
    this.#failureDomains = failureDomains;
    this.#upstreams.reapply();
  }

  /** Whether the store currently answers this VM's polls for upstreams. */
  get isServed(): boolean {
    const { isFailing, answeredMonoMs } = this.#followers.upstreams;
    return !isFailing &&
      this.#clock.monoMs() - answeredMonoMs < MAX_ANSWER_AGE_MS;
  }

  start(kernel: Kernel): Promise<void> {
    this.#clock = kernel.clock;
    this.#log = kernel.log;
    const { store } = this.#options;
    this.#upstreams = new UpstreamView({
      fleet: this.fleet,
      clock: this.#clock,
      log: this.#log,
      troubles: () => this.#followers.upstreams,
      entries: () => this.#followers.upstreams.entries,
    });
    this.#followers = {
      operators: new Follower({
        store,
        prefix: OPERATOR_PREFIX,
        clock: this.#clock,
        log: this.#log,
        waitMs: this.#options.operatorPollWaitMs ?? OPERATOR_POLL_WAIT_MS,
        pauseMs: 0,
        isReader: this.#options.isReader,
        contentOf: ({ value }) => value,
        redact: hashApiKeys,
        onPut: (entry) => this.#onOperatorPut(entry),
        onDelete: (key, cause) => this.#onOperatorDelete(key, cause),
      }),
      upstreams: new Follower({
        store,
        prefix: UPSTREAM_PREFIX,
        clock: this.#clock,
        log: this.#log,
        waitMs: UPSTREAM_POLL_WAIT_MS,
        pauseMs: UPSTREAM_POLL_PAUSE_MS,
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
      configVersion: this.#config?.version,
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
      restoredAgoMs: nowMs - this.#followers.operators.restoredMonoMs,
      kept: {
        evacuations: this.#kept.dump(),
        upstreams: this.#upstreams.dump(),
      },
      fleet: this.fleet.dump(),
    };
  }

  #adopt(topic: NewsTopic, news: News, from: string): AdoptOutcome {
    const knownRev = this.#followers[topic].state.rev;
    const outcome = this.#followers[topic].adopt(news);
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

  #onOperatorPut(entry: Entry): void {
    const domain = decodeEvacuationKey(entry.key);
    if (domain !== undefined) {
      this.#kept.noteWritten(entry.key);
      return this.#setEvacuated(domain, true, entry.rev);
    }
    if (entry.key !== CONFIG_KEY) return;
    try {
      const config = decodeConfig(entry.value);
      // Within a process the version only goes up: a late answer or another VM may bring an older one.
      if (this.#config && config.version <= this.#config.version) return;
      this.#config = config;
      this.#log.info("config in force", {
        configVersion: config.version,
        rev: entry.rev,
        routes: config.routes.length,
        workspaces: config.workspaces.count,
      });
    } catch (error) {
      this.#log.error("config unreadable", {
        rev: entry.rev,
        reason: String(error),
      });
    }
  }

  #onOperatorDelete(key: string, cause: ChangeCause): void {
    const domain = decodeEvacuationKey(key);
    if (domain === undefined) return;
    const { restoredMonoMs } = this.#followers.operators;
    const nowMs = this.#clock.monoMs();
    const isKept = cause === "restored" &&
      this.#kept.noteLost(key, restoredMonoMs, nowMs);
    if (!isKept) this.#setEvacuated(domain, false, 0);
  }

  #setEvacuated(domain: string, evacuated: boolean, rev: number): void {
    if (evacuated) this.#evacuated.add(domain);
    else this.#evacuated.delete(domain);
    this.fleet.setEvacuated(new Set(this.#evacuated));
    this.#log.info(evacuated ? "evacuated" : "evacuation over", {
      failureDomain: domain,
      rev,
    });
  }

  #sweep(): void {
    this.#upstreams.sweep();
    for (const key of this.#kept.takeDue(this.#clock.monoMs()).lost) {
      this.#setEvacuated(decodeEvacuationKey(key)!, false, 0);
    }
  }
}
