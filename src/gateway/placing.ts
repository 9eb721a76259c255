/**
 * Asks the region's lead where a request goes, and answers as the lead.
 *
 * A VM alone chooses by counts that are some hundred ms old, and so do its neighbours: all fill the same gap at once. The
 * lead counts what it has granted in the same step, knows who has read which prompt, keeps the pace of cold upstreams for
 * the whole region, and leaves a failing one alone after one failure. A lead that does not answer costs a request
 * {@link ANSWER_WAIT_MS}, and the VM then chooses by what it knows.
 *
 * @module
 */

import { type Clock, Random, type Timer } from "../base/mod.ts";
import {
  type Handlers,
  type Kernel,
  type Messages,
  Task,
} from "../kernel/mod.ts";
import type { Step } from "../routing/mod.ts";
import type { Beliefs } from "./beliefs.ts";
import type { Datagrams } from "./datagrams.ts";
import type { Members } from "./members.ts";
import { nextPoll } from "./next_poll.ts";
import type { GatewayMetrics } from "./metrics.ts";
import {
  isHomeOf,
  type PlaceAsk,
  placeHere,
  type PlaceWorld,
} from "./place_here.ts";
import {
  askOf,
  decodePlaceAnswer,
  decodeQuestion,
  encodeAsk,
  type PlaceQuestion,
  type PlaceVerdict,
} from "./place_wire.ts";
import type { CountedBy, Quotas } from "./quotas.ts";
import type { Relays } from "./relays.ts";
import type { LinkedCandidate } from "./upstream_link.ts";
import type { Upstreams } from "./upstreams.ts";

/**
 * A lead answers in about a millisecond; this is a tenth of the shortest objectives. What has arrived by then counts, also
 * if this VM is too busy to have read it.
 */
const ANSWER_WAIT_MS = 50;
/** Answers in a row that must be missing: datagrams are lost one in forty on the worst links. */
const MUTE_MISSES = 2;
/** A mute lead is asked again after this long; its region finds within it that it is gone. */
const MUTE_MS = 1_000;
/** A request without a place asks again after this long at the soonest, so that a full region's questions stay few. */
const LEAST_WAIT_MS = 40;
/** Upstreams that a lead tries to take for one question; each but the last was leaving or cold in that very step. */
const MOST_TAKES = 3;

/** A caller that came back sooner would spend most of the time on its new connection. */
const LEAST_RETURN_MS = 50;
/** A limit of next to nothing frees in hours; callers may look again after this long. */
const MOST_RETURN_MS = 60_000;
/** Spreads the return of callers beyond their limit over this much of the time that they wait. */
const RETURN_SPREAD = 0.5;

/** What was decided. `settle` is called when the step was taken or given up: it then shows in what this VM says it does. */
export interface Placed {
  readonly step: Step<LinkedCandidate>;
  /** Who counted the request's use of its workspace's limit, or found it beyond. Absent if it is not looked at now. */
  readonly countedBy?: CountedBy;
  settle(): void;
}

type Refused = {
  readonly step: Step<never> & { type: "refuse" };
  readonly countedBy: CountedBy;
};
type Counted = Pick<Placed, "step" | "countedBy">;

/** Options of {@link Placing}. */
export interface PlacingOptions {
  readonly self: { readonly id: string; readonly region: string };
  readonly datagrams: Datagrams;
  readonly members: Members;
  readonly beliefs: Beliefs;
  readonly upstreams: Upstreams;
  readonly relays: Relays;
  readonly metrics: GatewayMetrics;
  readonly quotas: Quotas;
}

interface Open {
  readonly answered: (verdict: PlaceVerdict) => void;
}

/** How well a lead answers. */
interface Hearing {
  misses: number;
  muteUntilMs: number;
}

/** See the module. */
export class Placing extends Task {
  readonly name = "placing";
  readonly #options: PlacingOptions;
  readonly #random = new Random(process.pid ^ Date.now());
  readonly #open = new Map<number, Open>();
  /** Questions whose answer does not show yet in what this VM has under way. */
  readonly #unsettled = new Set<number>();
  readonly #hearings = new Map<string, Hearing>();
  protected readonly handlers: Handlers<Messages> = {};
  #world!: PlaceWorld;
  #clock!: Clock;
  #lastQuestion = 0;

  constructor(options: PlacingOptions) {
    super();
    this.#options = options;
  }

  start(kernel: Kernel): Promise<void> {
    this.#clock = kernel.clock;
    const { self, upstreams, relays, datagrams } = this.#options;
    this.#world = {
      region: self.region,
      clock: kernel.clock,
      random: this.#random,
      upstreams,
      relays,
    };
    datagrams.on("place", (params, fromIp) => {
      const question = decodeQuestion(params);
      if (!question) return;
      const verdict = this.#decide(question);
      datagrams.send("placed", { question: question.question, verdict }, [
        fromIp,
      ]);
    });
    datagrams.on("placed", (params) => {
      const answer = decodePlaceAnswer(params);
      if (answer) this.#open.get(answer.question)?.answered(answer.verdict);
    });
    return Promise.resolve();
  }

  close(_deadlineMs: number): Promise<void> {
    return Promise.resolve();
  }

  dump(): unknown {
    return {
      open: this.#open.size,
      asked: this.asked,
      leads: Object.fromEntries(this.#hearings),
    };
  }

  /** All questions up to this number show in what this VM has under way, or came to nothing. */
  get asked(): number {
    let asked = this.#lastQuestion;
    for (const question of this.#unsettled) {
      asked = Math.min(asked, question - 1);
    }
    return asked;
  }

  /** The next step by what this VM knows. */
  here(ask: PlaceAsk): Step<LinkedCandidate> {
    return placeHere(this.#world, ask);
  }

  /** The next step of a request, by the lead if there is one that answers. Never fails. */
  async place(ask: PlaceAsk): Promise<Placed> {
    const lead = this.#lead(ask);
    if (!lead) return this.#decideAlone("self", ask);
    const question = ++this.#lastQuestion;
    this.#unsettled.add(question);
    const settle = () => void this.#unsettled.delete(question);
    const askedMs = this.#clock.monoMs();
    const verdict = await this.#ask(ask, question, lead);
    if (verdict) {
      this.#options.metrics.time("place", "", this.#clock.monoMs() - askedMs);
    }
    const step = verdict && this.#stepOf(verdict, ask);
    if (step) {
      const isCounted = "counted" in verdict && verdict.counted === true;
      const counted: Counted = isCounted
        ? { step, countedBy: "lead" }
        : this.#count(step, ask);
      return { ...this.#placed("lead", counted.step), ...counted, settle };
    }
    settle();
    return this.#decideAlone(verdict ? "behind" : "mute", ask);
  }

  #decideAlone(by: string, ask: PlaceAsk): Placed {
    const counted = this.#refusalByQuota(ask) ??
      this.#count(this.here(ask), ask);
    return { ...this.#placed(by, counted.step), ...counted };
  }

  /** Counts the use of a request that is sent; one that does not fit is refused. */
  #count(step: Step<LinkedCandidate>, ask: PlaceAsk): Counted {
    const { quota } = ask;
    if (!quota || (step.type !== "send" && step.type !== "relay")) {
      return { step };
    }
    return this.#refusalByQuota(ask) ??
      { step, countedBy: this.#options.quotas.take(quota) };
  }

  /** Refuses what is beyond its workspace's limit, before a place is looked for; nothing if it fits. */
  #refusalByQuota({ quota }: PlaceAsk): Refused | undefined {
    const waitMs = quota ? this.#options.quotas.waitMs(quota) : 0;
    if (waitMs <= 0) return undefined;
    const countedBy = this.#options.quotas.by;
    this.#options.metrics.count("over_quota", `by="${countedBy}"`);
    const spread = 1 + RETURN_SPREAD * this.#random.next();
    return {
      countedBy,
      step: {
        type: "refuse",
        reason: "overQuota",
        comeBackMs: Math.ceil(
          Math.min(Math.max(waitMs, LEAST_RETURN_MS), MOST_RETURN_MS) * spread,
        ),
        here: 0,
        elsewhere: [],
      },
    };
  }

  #placed(by: string, step: Step<LinkedCandidate>): Placed {
    this.#options.metrics.count("placed", `by="${by}"`);
    return { step, settle: () => {} };
  }

  /** The lead to ask; `undefined` if this VM decides by itself. */
  #lead(
    { quota }: PlaceAsk,
  ): { readonly id: string; readonly ip: string } | undefined {
    const { members, self } = this.#options;
    // Where all hear all each VM finds a place by itself, but a limit is counted in one place.
    if (members.hearsAll && !quota) return undefined;
    const nowMs = this.#clock.monoMs();
    const lead = members.leads.find(({ id }) =>
      (this.#hearings.get(id)?.muteUntilMs ?? 0) <= nowMs
    );
    return lead?.id === self.id ? undefined : lead;
  }

  #ask(
    ask: PlaceAsk,
    question: number,
    lead: { readonly id: string; readonly ip: string },
  ): Promise<PlaceVerdict | undefined> {
    const { datagrams, self, upstreams } = this.#options;
    return new Promise((resolve) => {
      const end = (verdict: PlaceVerdict | undefined) => {
        timer.close();
        if (!this.#open.delete(question)) return;
        this.#noteHearing(lead.id, verdict !== undefined);
        resolve(verdict);
      };
      const timer: Timer = this.#clock.after(
        ANSWER_WAIT_MS,
        () => void nextPoll().then(() => end(undefined)),
      );
      this.#open.set(question, { answered: end });
      const asked = encodeAsk(ask, {
        question,
        from: self.id,
        lost: upstreams.aside(),
        nowMs: this.#clock.monoMs(),
      });
      datagrams.send("place", asked, [lead.ip]);
    });
  }

  #noteHearing(leadId: string, isHeard: boolean): void {
    if (isHeard) {
      this.#hearings.delete(leadId);
      return;
    }
    const hearing = this.#hearings.get(leadId) ?? { misses: 0, muteUntilMs: 0 };
    hearing.misses++;
    if (hearing.misses >= MUTE_MISSES) {
      hearing.muteUntilMs = this.#clock.monoMs() + MUTE_MS;
    }
    this.#hearings.set(leadId, hearing);
  }

  /** `undefined` if the lead chose an upstream that is not known here. */
  #stepOf(
    verdict: PlaceVerdict,
    { service }: PlaceAsk,
  ): Step<LinkedCandidate> | undefined {
    switch (verdict.type) {
      case "unknown":
        return undefined;
      case "send": {
        const { upstreamKey, grant } = verdict;
        const candidate = this.#options.upstreams
          .granted(service, upstreamKey, grant);
        return candidate && { type: "send", candidate };
      }
      case "wait":
        return {
          type: "wait",
          untilMs: this.#clock.monoMs() + verdict.waitMs,
        };
      default:
        return verdict;
    }
  }

  /** The next step without the upstreams that the asking VM has lost, unless there is nothing else. */
  #besides(lost: readonly string[], ask: PlaceAsk): Step<LinkedCandidate> {
    if (lost.length === 0) return this.here(ask);
    const step = this.here({ ...ask, tried: new Set([...ask.tried, ...lost]) });
    return step.type === "refuse" ? this.here(ask) : step;
  }

  /** Decides as the lead, and counts what it grants. */
  #decide(question: PlaceQuestion): PlaceVerdict {
    const { beliefs, upstreams, members, quotas } = this.#options;
    const nowMs = this.#clock.monoMs();
    const ask = askOf(question, beliefs.config, nowMs);
    if (!ask) return { type: "unknown" };
    const { service, prompt, quota } = ask;
    const counts = quota !== undefined && quotas.isAuthority;
    const refusal = counts ? this.#refusalByQuota(ask) : undefined;
    if (refusal) return { ...refusal.step, counted: true };
    const counted = () => {
      if (!counts) return {};
      quotas.take(quota);
      return { counted: true } as const;
    };
    for (let takes = 0; takes < MOST_TAKES; takes++) {
      const step = this.#besides(question.lost, ask);
      if (step.type === "wait") {
        const waitMs = Math.max(LEAST_WAIT_MS, step.untilMs - nowMs);
        return { type: "wait", waitMs };
      }
      if (step.type === "relay") return { ...step, ...counted() };
      if (step.type !== "send") return step;
      const { candidate } = step;
      if (!upstreams.take(candidate, service, prompt)) continue;
      const { key, running, waitingTokens } = candidate;
      const unreadTokens = service.engine ? candidate.unreadTokens : 0;
      members.book.grant(
        question.from,
        question.question,
        key,
        unreadTokens,
        nowMs,
      );
      const fetchFrom = upstreams.fetchFrom(
        candidate,
        service,
        prompt,
        (region) => isHomeOf(ask, region),
      );
      return {
        type: "send",
        upstreamKey: key,
        grant: { running, waitingTokens, unreadTokens, fetchFrom },
        ...counted(),
      };
    }
    return { type: "wait", waitMs: LEAST_WAIT_MS };
  }
}
