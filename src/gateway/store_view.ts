/**
 * What this VM believes of the configuration, the evacuations and the upstreams, and where it learns it: from the store,
 * or from another VM while the store does not serve this one.
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
  decodeUpstream,
  decodeUpstreamId,
  hashApiKeys,
  OPERATOR_PREFIX,
  UPSTREAM_PREFIX,
} from "../platform/mod.ts";
import { Fleet, type GatewayConfig, hasChanged } from "../routing/mod.ts";
import type { Revisions } from "../region/mod.ts";
import { type FollowedStore, Follower } from "./follower.ts";
import type { News } from "./replica.ts";

/** The two matters that are followed. */
export type NewsTopic = keyof Revisions;

/** What the beliefs service answers; its name is `beliefs`. */
export type StoreViewMessages = {
  /** What a VM lacks that has got to the revision `since` of the matter's news. */
  news: {
    in: { readonly matter: NewsTopic; readonly since: number };
    out: News;
  };
  /** What another VM told. */
  adopt: {
    in: {
      readonly matter: NewsTopic;
      readonly news: News;
      readonly from: string;
    };
    out: void;
  };
};

/** Options of {@link StoreView}. */
export interface StoreViewOptions {
  readonly store: FollowedStore;
  /** Region of each failure domain. */
  readonly failureDomains: Readonly<Record<string, string>>;
  /** Whether this VM asks the store what changes, for others of its region too. */
  readonly isReader: () => boolean;
  /** How long a question for changes of the configuration waits; a usual time if left out. */
  readonly operatorPollWaitMs?: number;
}

/**
 * How long a question for changes of the configuration waits, usually. A connection that has gone silent is found only after
 * that, but another VM tells of a newer revision within a second.
 */
const OPERATOR_POLL_WAIT_MS = 4_000;
/** The same for upstreams, which write about every second each, so that an answer comes at once. */
const UPSTREAM_POLL_WAIT_MS = 1_000;
/**
 * A reader whose last answer is older than this is taken for cut off by the others. Usual are 1.2 s of pause and some
 * tens of ms; its own call gives up only after three seconds.
 */
const MAX_ANSWER_AGE_MS = 2_500;
/**
 * Pause between questions about upstreams. Each upstream writes every 1.2 s; without a pause every write would cost every
 * VM a call. What is learnt late by this much must be within the time that leaving upstreams still serve, seconds.
 */
const UPSTREAM_POLL_PAUSE_MS = 1_200;
/**
 * Entries that lapsed in an outage are back within two seconds of its end. Until then they are used on: without this
 * the end of each outage would leave no upstream at all for a second.
 */
const LAPSED_GRACE_MS = 2_300;
/** A lapsed entry is forgotten late by up to this much. */
const SWEEP_INTERVAL_MS = 500;
/** A cold time that ends later by more than this is a new one, and no delay of the news of the old. */
const MIN_COLD_EXTENSION_MS = 1_000;

/** See the module; {@link StoreView.config} and {@link StoreView.fleet} are read on each request. */
export class StoreView extends Task<StoreViewMessages> {
  readonly name = "beliefs";
  readonly fleet: Fleet;
  readonly #options: StoreViewOptions;
  readonly #evacuated = new Set<string>();
  /** Upstreams whose entry is gone but may come back, with the time until which they are kept. */
  readonly #lapsed = new Map<string, number>();
  #failureDomains: Readonly<Record<string, string>>;
  #config: GatewayConfig | undefined;
  #followers!: Readonly<Record<NewsTopic, Follower>>;
  #clock!: Clock;
  #log!: Log;
  #timer: Timer | undefined;

  protected readonly handlers: Handlers<StoreViewMessages> = {
    news: ({ matter: topic, since }) => this.#followers[topic].newsSince(since),
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

  /** What this VM says of its news to others. */
  get revisions(): Revisions {
    return {
      operators: this.#followers.operators.announcedRev,
      upstreams: this.#followers.upstreams.announcedRev,
    };
  }

  /** How long ago the store itself told this VM the newest configuration. */
  get configAgeMs(): number {
    return this.#clock.monoMs() - this.#followers.operators.answeredMonoMs;
  }

  /** Revision up to which nothing of a matter's news is missing here. */
  newsRev(topic: NewsTopic): number {
    return this.#followers[topic].newsRev;
  }

  /** Takes in changed settings; upstreams of a new failure domain are used from their next entry on. */
  setFailureDomains(failureDomains: Readonly<Record<string, string>>): void {
    this.#failureDomains = failureDomains;
  }

  /** Whether the store answers this VM's questions about upstreams at the moment. */
  get isServed(): boolean {
    const { isFailing, answeredMonoMs } = this.#followers.upstreams;
    return !isFailing &&
      this.#clock.monoMs() - answeredMonoMs < MAX_ANSWER_AGE_MS;
  }

  start(kernel: Kernel): Promise<void> {
    this.#clock = kernel.clock;
    this.#log = kernel.log;
    const { store } = this.#options;
    this.#followers = {
      operators: new Follower({
        store,
        prefix: OPERATOR_PREFIX,
        clock: this.#clock,
        log: this.#log,
        waitMs: this.#options.operatorPollWaitMs ?? OPERATOR_POLL_WAIT_MS,
        pauseMs: 0,
        isReader: this.#options.isReader,
        isNews: () => true,
        isRenewed: false,
        seal: hashApiKeys,
        onPut: (entry) => this.#onOperatorPut(entry),
        onDelete: (key) => this.#onOperatorDelete(key),
      }),
      upstreams: new Follower({
        store,
        prefix: UPSTREAM_PREFIX,
        clock: this.#clock,
        log: this.#log,
        waitMs: UPSTREAM_POLL_WAIT_MS,
        pauseMs: UPSTREAM_POLL_PAUSE_MS,
        isReader: this.#options.isReader,
        isNews: (entry) => this.#isUpstreamNews(entry),
        isRenewed: true,
        onPut: (entry) => this.#onUpstreamPut(entry),
        onDelete: (key) => this.#onUpstreamDelete(key),
      }),
    };
    this.#followers.operators.start();
    this.#followers.upstreams.start();
    this.#timer = this.#clock.every(
      SWEEP_INTERVAL_MS,
      () => this.#removeLapsed(),
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
      revisions: this.revisions,
      isServed: this.isServed,
      heardAgoMs: {
        operators: nowMs - this.#followers.operators.answeredMonoMs,
        upstreams: nowMs - this.#followers.upstreams.answeredMonoMs,
      },
      fleet: this.fleet.dump(),
    };
  }

  #adopt(topic: NewsTopic, news: News, from: string): void {
    if (!this.#followers[topic].adopt(news, from)) return;
    this.#log.info("learnt from a peer", {
      matter: topic,
      from,
      rev: news.newsRev,
      entries: news.entries.length,
      deleted: news.deleted.length,
    });
  }

  /** Upstreams write every second to show that they live; only a change of what they say is told on. */
  #isUpstreamNews(entry: Entry): boolean {
    const before = this.fleet.get(decodeUpstreamId(entry.key));
    try {
      const after = decodeUpstream(decodeUpstreamId(entry.key), entry.value);
      return before === undefined || hasChanged(before, after) ||
        this.#clock.monoMs() + after.coldLeftMs >
          before.coldUntilMs + MIN_COLD_EXTENSION_MS;
    } catch {
      return true;
    }
  }

  #onOperatorPut(entry: Entry): void {
    const domain = decodeEvacuationKey(entry.key);
    if (domain !== undefined) {
      return this.#setEvacuated(domain, true, entry.rev);
    }
    if (entry.key !== CONFIG_KEY) return;
    try {
      const config = decodeConfig(entry.value);
      // Versions only go up within a process, whatever a late answer or a peer says.
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

  #onOperatorDelete(key: string): void {
    const domain = decodeEvacuationKey(key);
    if (domain !== undefined) this.#setEvacuated(domain, false, 0);
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

  #onUpstreamPut(entry: Entry): void {
    const id = decodeUpstreamId(entry.key);
    this.#lapsed.delete(id);
    try {
      const record = decodeUpstream(id, entry.value);
      const before = this.fleet.put(record, this.#clock.monoMs());
      if (before?.key === record.key && before.state === record.state) return;
      this.#log.info("upstream known", {
        upstream: record.key,
        service: record.service,
        failureDomain: record.failureDomain,
        state: record.state,
        coldLeftMs: record.coldLeftMs,
        rev: entry.rev,
      });
    } catch (error) {
      this.fleet.delete(id);
      this.#log.warn("upstream entry unreadable", {
        upstream: id,
        rev: entry.rev,
        reason: String(error),
      });
    }
  }

  #onUpstreamDelete(key: string): void {
    const id = decodeUpstreamId(key);
    const sinceRecoveryMs = this.#clock.monoMs() -
      this.#followers.upstreams.recoveredMonoMs;
    // A leaving upstream whose entry goes has left; only a ready one may have lapsed.
    if (
      sinceRecoveryMs < LAPSED_GRACE_MS && this.fleet.get(id)?.state === "ready"
    ) {
      this.#lapsed.set(
        id,
        this.#clock.monoMs() + LAPSED_GRACE_MS - sinceRecoveryMs,
      );
      return;
    }
    this.#removeUpstream(id, "entry gone");
  }

  #removeUpstream(id: string, reason: string): void {
    const before = this.fleet.delete(id);
    if (before) {
      this.#log.info("upstream gone", {
        upstream: before.key,
        service: before.service,
        reason,
      });
    }
  }

  #removeLapsed(): void {
    const nowMs = this.#clock.monoMs();
    for (const [id, untilMs] of this.#lapsed) {
      if (nowMs < untilMs) continue;
      this.#lapsed.delete(id);
      this.#removeUpstream(id, "lapsed in an outage and not back");
    }
  }
}
