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
  decodeUpstream,
  evacuatedDomain,
  OPERATOR_PREFIX,
  sealEntry,
  UPSTREAM_PREFIX,
  upstreamId,
} from "../platform/mod.ts";
import { Fleet, type GatewayConfig, isNewsOf } from "../routing/mod.ts";
import type { Revisions } from "../region/mod.ts";
import { type FollowedStore, Follower } from "./follower.ts";
import type { News } from "./replica.ts";

/** The two matters that are followed. */
export type Matter = keyof Revisions;

/** What the beliefs service answers; its name is `beliefs`. */
export type BeliefMessages = {
  /** What a VM lacks that has got to the revision `since` of the matter's news. */
  news: {
    in: { readonly matter: Matter; readonly since: number };
    out: News;
  };
  /** What another VM told. */
  adopt: {
    in: {
      readonly matter: Matter;
      readonly news: News;
      readonly from: string;
    };
    out: void;
  };
};

/** Options of {@link Beliefs}. */
export interface BeliefOptions {
  readonly store: FollowedStore;
  /** Region of each failure domain. */
  readonly failureDomains: Readonly<Record<string, string>>;
  /** Whether this VM asks the store what changes, for others of its region too. */
  readonly isReader: () => boolean;
  /** How long a question for changes of the configuration waits; a usual time if left out. */
  readonly operatorWaitMs?: number;
}

/**
 * How long a question for changes of the configuration waits, usually. A connection that has gone silent is found only after
 * that, but another VM tells of a newer revision within a second.
 */
const OPERATOR_WAIT_MS = 4_000;
/** The same for upstreams, which write about every second each, so that an answer comes at once. */
const UPSTREAM_WAIT_MS = 1_000;
/**
 * A reader whose last answer is older than this is taken for cut off by the others. Usual are 1.2 s of pause and some
 * tens of ms; its own call gives up only after three seconds.
 */
const SERVED_MS = 2_500;
/**
 * Pause between questions about upstreams. Each upstream writes every 1.2 s; without a pause every write would cost every
 * VM a call. What is learnt late by this much must be within the time that leaving upstreams still serve, seconds.
 */
const UPSTREAM_PAUSE_MS = 1_200;
/**
 * Entries that lapsed in an outage are back within two seconds of its end. Until then they are used on: without this
 * the end of each outage would leave no upstream at all for a second.
 */
const RETURN_MS = 2_300;
/** A lapsed entry is forgotten late by up to this much. */
const SWEEP_MS = 500;
/** A cold time that ends later by more than this is a new one, and no delay of the news of the old. */
const COLD_AGAIN_MS = 1_000;

/** See the module; {@link Beliefs.config} and {@link Beliefs.fleet} are read on each request. */
export class Beliefs extends Task<BeliefMessages> {
  readonly name = "beliefs";
  readonly fleet: Fleet;
  readonly #options: BeliefOptions;
  readonly #evacuated = new Set<string>();
  /** Upstreams whose entry is gone but may come back, with the time until which they are kept. */
  readonly #lapsed = new Map<string, number>();
  #failureDomains: Readonly<Record<string, string>>;
  #config: GatewayConfig | undefined;
  #followers!: Readonly<Record<Matter, Follower>>;
  #clock!: Clock;
  #log!: Log;
  #timer: Timer | undefined;

  protected readonly handlers: Handlers<BeliefMessages> = {
    news: ({ matter, since }) => this.#followers[matter].newsSince(since),
    adopt: ({ matter, news, from }) => this.#adopt(matter, news, from),
  };

  constructor(options: BeliefOptions) {
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
      operators: this.#followers.operators.saidRev,
      upstreams: this.#followers.upstreams.saidRev,
    };
  }

  /** How long ago the store itself told this VM the newest configuration. */
  get configAgeMs(): number {
    return this.#clock.monoMs() - this.#followers.operators.heardMonoMs;
  }

  /** Revision up to which nothing of a matter's news is missing here. */
  newsRev(matter: Matter): number {
    return this.#followers[matter].newsRev;
  }

  /** Takes in changed settings; upstreams of a new failure domain are used from their next entry on. */
  setFailureDomains(failureDomains: Readonly<Record<string, string>>): void {
    this.#failureDomains = failureDomains;
  }

  /** Whether the store answers this VM's questions about upstreams at the moment. */
  get isServed(): boolean {
    const { isFailing, heardMonoMs } = this.#followers.upstreams;
    return !isFailing && this.#clock.monoMs() - heardMonoMs < SERVED_MS;
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
        waitMs: this.#options.operatorWaitMs ?? OPERATOR_WAIT_MS,
        pauseMs: 0,
        isReader: this.#options.isReader,
        isNews: () => true,
        isRenewed: false,
        seal: sealEntry,
        onPut: (entry) => this.#operatorPut(entry),
        onDelete: (key) => this.#operatorDelete(key),
      }),
      upstreams: new Follower({
        store,
        prefix: UPSTREAM_PREFIX,
        clock: this.#clock,
        log: this.#log,
        waitMs: UPSTREAM_WAIT_MS,
        pauseMs: UPSTREAM_PAUSE_MS,
        isReader: this.#options.isReader,
        isNews: (entry) => this.#isUpstreamNews(entry),
        isRenewed: true,
        onPut: (entry) => this.#upstreamPut(entry),
        onDelete: (key) => this.#upstreamDelete(key),
      }),
    };
    this.#followers.operators.start();
    this.#followers.upstreams.start();
    this.#timer = this.#clock.every(SWEEP_MS, () => this.#sweep());
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
        operators: nowMs - this.#followers.operators.heardMonoMs,
        upstreams: nowMs - this.#followers.upstreams.heardMonoMs,
      },
      fleet: this.fleet.dump(),
    };
  }

  #adopt(matter: Matter, news: News, from: string): void {
    if (!this.#followers[matter].adopt(news, from)) return;
    this.#log.info("learnt from a peer", {
      matter,
      from,
      rev: news.newsRev,
      entries: news.entries.length,
      deleted: news.deleted.length,
    });
  }

  /** Upstreams write every second to show that they live; only a change of what they say is told on. */
  #isUpstreamNews(entry: Entry): boolean {
    const before = this.fleet.get(upstreamId(entry.key));
    try {
      const after = decodeUpstream(upstreamId(entry.key), entry.value);
      return before === undefined || isNewsOf(before, after) ||
        this.#clock.monoMs() + after.coldLeftMs >
          before.coldUntilMs + COLD_AGAIN_MS;
    } catch {
      return true;
    }
  }

  #operatorPut(entry: Entry): void {
    const domain = evacuatedDomain(entry.key);
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

  #operatorDelete(key: string): void {
    const domain = evacuatedDomain(key);
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

  #upstreamPut(entry: Entry): void {
    const id = upstreamId(entry.key);
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

  #upstreamDelete(key: string): void {
    const id = upstreamId(key);
    const sinceReturnMs = this.#clock.monoMs() -
      this.#followers.upstreams.recoveredMonoMs;
    // A leaving upstream whose entry goes has left; only a ready one may have lapsed.
    if (sinceReturnMs < RETURN_MS && this.fleet.get(id)?.state === "ready") {
      this.#lapsed.set(id, this.#clock.monoMs() + RETURN_MS - sinceReturnMs);
      return;
    }
    this.#forget(id, "entry gone");
  }

  #forget(id: string, reason: string): void {
    const before = this.fleet.delete(id);
    if (before) {
      this.#log.info("upstream gone", {
        upstream: before.key,
        service: before.service,
        reason,
      });
    }
  }

  #sweep(): void {
    const nowMs = this.#clock.monoMs();
    for (const [id, untilMs] of this.#lapsed) {
      if (nowMs < untilMs) continue;
      this.#lapsed.delete(id);
      this.#forget(id, "lapsed in an outage and not back");
    }
  }
}
