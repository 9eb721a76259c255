/**
 * Queries to the region's lead where to send requests, and which lead answers them.
 *
 * @module
 */

import type { Clock, Timer } from "../base/mod.ts";
import type { Datagrams } from "./datagrams.ts";
import { LeadQuery } from "./lead_query.ts";
import type { PlacementRequest } from "./local_placement.ts";
import type { Members } from "./members.ts";
import { waitForNextPoll } from "./next_poll.ts";
import {
  decodePlacementAnswer,
  decodeRenewalAnswer,
  encodeQuery,
  type PlacementAnswer,
  type PlacementVerdict,
  type Renewal,
  type RenewalAnswer,
  type Withdrawal,
} from "./placement_wire.ts";
import type { Upstreams } from "./upstreams.ts";

/**
 * Unanswered queries in a row after which a lead is not asked for a while. One is too few, as the worst links lose one
 * datagram in forty.
 */
const MISSES_BEFORE_BACKOFF = 2;
/** How long a lead that does not answer is not asked. Within this time its region detects that it is gone. */
const LEAD_BACKOFF_MS = 1_000;

/** How often the places of queued requests are renewed. A new lead knows them after this time. */
const RENEW_INTERVAL_MS = 250;

/** Whether a lead answers queries. */
interface LeadHealth {
  misses: number;
  muteUntilMs: number;
}

/** A lead that can be asked. */
export interface AskedLead {
  readonly id: string;
  readonly ip: string;
}

/** Follows a request that is queued by its lead. */
export interface QueueWaiter {
  /** Called if the request is queued; `leave` gives up its place there. */
  onQueued(leave: () => void): void;
}

/** For requests that nobody follows. */
export const NO_WAITER: QueueWaiter = { onQueued: () => {} };

/** A query that waits in the queue of a lead. */
interface QueuedQuery {
  readonly query: LeadQuery;
  readonly lead: AskedLead;
}

/** Options of {@link LeadQueries}. */
export interface LeadQueriesOptions {
  readonly self: { readonly id: string };
  readonly clock: Clock;
  readonly datagrams: Datagrams;
  readonly members: Members;
  readonly upstreams: Upstreams;
}

/** Sends this VM's queries, and tracks which leads answer. */
export class LeadQueries {
  readonly #options: LeadQueriesOptions;
  readonly #pending = new Map<number, LeadQuery>();
  readonly #leads = new Map<string, LeadHealth>();
  /** By query number. */
  readonly #queued = new Map<number, QueuedQuery>();
  #timer: Timer | undefined;

  constructor(options: LeadQueriesOptions) {
    this.#options = options;
    const { datagrams } = options;
    datagrams.on("placed", (params) => {
      const answer = decodePlacementAnswer(params);
      if (answer) this.#noteAnswer(answer);
    });
    datagrams.on("renewed", (params, fromIp) => {
      const answer = decodeRenewalAnswer(params);
      if (answer) this.#noteRenewed(answer, fromIp);
    });
  }

  close(): void {
    this.#timer?.close();
  }

  dump(): Record<string, unknown> {
    return {
      open: this.#pending.size,
      queued: this.#queued.size,
      leads: Object.fromEntries(this.#leads),
    };
  }

  /** Returns the lead to ask; `undefined` if this VM decides by itself. */
  pickLead({ quota }: PlacementRequest): AskedLead | undefined {
    const { members, self, clock } = this.#options;
    // Where all VMs receive each other's reports, each places its own requests, but a quota is counted in one place.
    if (members.hearsAll && !quota) return undefined;
    const nowMs = clock.monoMs();
    const lead = members.leads.find(({ id }) =>
      (this.#leads.get(id)?.muteUntilMs ?? 0) <= nowMs
    );
    return lead?.id === self.id ? undefined : lead;
  }

  /**
   * Asks a lead. Resolves with its final verdict, or without one if it does not answer. `onQueued` is called if the
   * request waits in the lead's queue meanwhile; its argument gives up the place there.
   */
  ask(
    request: PlacementRequest,
    queryId: number,
    lead: AskedLead,
    onQueued: (leave: () => void) => void,
  ): Promise<PlacementVerdict | undefined> {
    return new Promise((resolve) => {
      const query: LeadQuery = new LeadQuery({
        clock: this.#options.clock,
        send: () => {
          const isAgain = this.#queued.has(queryId);
          this.#send(isAgain ? asQueued(request) : request, queryId, lead);
        },
        withdraw: () => this.#withdraw(queryId, lead),
        isCurrent: () => this.pickLead(request)?.id === lead.id,
        onQueued: () => {
          this.#noteQueued(queryId, { query, lead });
          onQueued(() => query.leave());
        },
        onEnd: (verdict, end) => {
          this.#pending.delete(queryId);
          this.#queued.delete(queryId);
          if (end !== "left") this.#noteAnswered(lead, end === "answered");
          resolve(verdict);
        },
      });
      this.#pending.set(queryId, query);
    });
  }

  /** Handles a lead's answer; one to a query that is over is ignored. */
  #noteAnswer({ question, verdict }: PlacementAnswer): void {
    this.#pending.get(question)?.noteAnswer(verdict);
  }

  /** Handles a lead's answer to a renewal; it names what the lead does not know any more. */
  #noteRenewed({ unknown }: RenewalAnswer, leadIp: string): void {
    for (const { query, lead } of this.#queued.values()) {
      if (lead.ip === leadIp) query.noteRenewed();
    }
    for (const queryId of unknown) this.#queued.get(queryId)?.query.askAgain();
  }

  #noteQueued(queryId: number, queued: QueuedQuery): void {
    this.#queued.set(queryId, queued);
    this.#timer ??= this.#options.clock.every(
      RENEW_INTERVAL_MS,
      () => void waitForNextPoll().then(() => this.#renew()),
    );
  }

  #renew(): void {
    const { datagrams, self } = this.#options;
    const byIp = new Map<string, number[]>();
    for (const [queryId, { query, lead }] of [...this.#queued]) {
      if (!query.takeRenewal()) continue;
      const questions = byIp.get(lead.ip);
      if (questions) questions.push(queryId);
      else byIp.set(lead.ip, [queryId]);
    }
    for (const [ip, questions] of byIp) {
      const renewal: Renewal = { from: self.id, questions };
      datagrams.send("renew", renewal, [ip]);
    }
    if (this.#queued.size > 0) return;
    this.#timer?.close();
    this.#timer = undefined;
  }

  #send(request: PlacementRequest, queryId: number, { ip }: AskedLead): void {
    const { datagrams, self, upstreams, clock } = this.#options;
    const query = encodeQuery(request, {
      question: queryId,
      from: self.id,
      lost: upstreams.asideKeys(),
      resting: upstreams.resting(request.service.name),
      nowMs: clock.monoMs(),
    });
    datagrams.send("place", query, [ip]);
  }

  #withdraw(queryId: number, { ip }: AskedLead): void {
    const { datagrams, self } = this.#options;
    const withdrawal: Withdrawal = { question: queryId, from: self.id };
    datagrams.send("unplace", withdrawal, [ip]);
  }

  #noteAnswered({ id }: AskedLead, hasAnswered: boolean): void {
    if (hasAnswered) {
      this.#leads.delete(id);
      return;
    }
    const health = this.#leads.get(id) ?? { misses: 0, muteUntilMs: 0 };
    health.misses++;
    if (health.misses >= MISSES_BEFORE_BACKOFF) {
      health.muteUntilMs = this.#options.clock.monoMs() + LEAD_BACKOFF_MS;
    }
    this.#leads.set(id, health);
  }
}

/** Returns a request as one that a lead has queued before. */
function asQueued(request: PlacementRequest): PlacementRequest {
  const { queue } = request;
  return queue ? { ...request, queue: { ...queue, wasQueued: true } } : request;
}
