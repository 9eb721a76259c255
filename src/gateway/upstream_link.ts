/**
 * This VM's state of one upstream, and an upstream as a candidate for a request.
 *
 * @module
 */

import {
  ColdRateLimiter,
  type EnginePace,
  type KnownUpstream,
  type PromptPart,
  selectColdOwner,
  type SendOutcome,
  type StepCandidate,
  UpstreamHealth,
  UpstreamRest,
} from "../routing/mod.ts";
import { KeepAliveAgent } from "./keep_alive_agent.ts";
import { ProcessProof } from "./process_proof.ts";

/**
 * An upstream with requests in flight that sends nothing for this long is unreachable or hangs: busy engines send
 * events several times as often, and a plain service's slowest usual answer takes less.
 */
const SILENCE_TIMEOUT_MS = 600;

/**
 * Two VMs that lose an upstream within this time have seen the same failure of it; at its usual request rate a tenth of
 * this time is enough for both.
 */
const SAME_LOSS_WINDOW_MS = 1_000;

/** How long an upstream that was gone may be back as a new start, if it has not answered since. */
const MAY_RESTART_MS = 5_000;
/** How long an upstream that answers again may be a new start whose entry this VM has not read yet. */
const RESTART_NEWS_MS = 2_000;

/** This VM's connections, load and health of one upstream. */
export class UpstreamLink {
  readonly agent: KeepAliveAgent;
  readonly health = new UpstreamHealth();
  readonly coldPace = new ColdRateLimiter();
  readonly rest = new UpstreamRest();
  /** Called for each repeatable request in flight when the upstream turns out to be unreachable. */
  readonly darkListeners = new Set<() => void>();
  running = 0;
  /** Requests in flight under which upstreams crashed before. */
  suspectCount = 0;
  waitingTokens = 0;
  usedMonoMs: number;
  readonly proof = new ProcessProof();
  /** The upstream, as of the last request. */
  upstream: KnownUpstream | undefined;

  #silentSinceMs: number;
  /** When its program was known to have ended; another start of it has another entry, and another link. */
  #goneMonoMs = -Infinity;
  /** When it answered again. */
  #backMonoMs = -Infinity;
  #lastLoss: { readonly vmId: string; readonly lostMs: number } | undefined;
  #cachedOwner:
    | { readonly vmIds: readonly string[]; readonly id: string }
    | undefined;

  constructor(nowMs: number) {
    this.agent = new KeepAliveAgent({});
    this.usedMonoMs = nowMs;
    this.#silentSinceMs = nowMs;
  }

  /** Counts a request that is sent. */
  noteSend(upstream: KnownUpstream, nowMs: number, promptTokens: number): void {
    this.upstream = upstream;
    if (this.running === 0) this.#silentSinceMs = nowMs;
    this.running++;
    this.waitingTokens += promptTokens;
    this.health.noteSend(nowMs);
  }

  /**
   * Returns the only VM that may send there while the upstream is cold. Cached as long as the list of VMs is the same
   * object: with 30 other VMs and ten cold upstreams, computing it took 0.4 ms per request.
   */
  coldOwner(upstreamKey: string, vmIds: readonly string[]): string | undefined {
    if (this.#cachedOwner?.vmIds !== vmIds) {
      this.#cachedOwner = {
        vmIds,
        id: selectColdOwner(upstreamKey, vmIds) ?? "",
      };
    }
    return this.#cachedOwner.id;
  }

  /** Notes the outcome of another VM's send. */
  noteOutcomeElsewhere(
    vmId: string,
    outcome: SendOutcome,
    nowMs: number,
  ): void {
    if (outcome === "lost" && !this.#confirmLoss(vmId, nowMs)) return;
    if (outcome === "gone") {
      // A refusal comes from the upstream's own machine, so that one VM's word is enough.
      this.noteGone(nowMs);
      if (this.health.isAside(nowMs)) return;
    }
    this.health.noteOutcome(outcome, nowMs);
  }

  /**
   * Notes that a VM lost its connection to the upstream. Returns whether another VM did so too shortly before: a VM
   * whose own links fail loses every upstream, and must not make the whole region avoid them.
   */
  #confirmLoss(vmId: string, nowMs: number): boolean {
    const previous = this.#lastLoss;
    this.#lastLoss = { vmId, lostMs: nowMs };
    return previous !== undefined && previous.vmId !== vmId &&
      nowMs - previous.lostMs < SAME_LOSS_WINDOW_MS;
  }

  /** Notes that bytes arrived. */
  noteReceived(nowMs: number): void {
    this.#silentSinceMs = nowMs;
    if (this.#backMonoMs < this.#goneMonoMs) this.#backMonoMs = nowMs;
  }

  /** Notes that the upstream's program has ended. */
  noteGone(nowMs: number): void {
    this.#goneMonoMs = nowMs;
  }

  /**
   * Whether what answers at its address may be a new start of it, which is cold. Its entry says so only a poll later;
   * until then all VMs would send it as much as before, and it would crash again.
   */
  mayBeRestarted(nowMs: number): boolean {
    return this.#backMonoMs < this.#goneMonoMs
      ? nowMs < this.#goneMonoMs + MAY_RESTART_MS
      : nowMs < this.#backMonoMs + RESTART_NEWS_MS;
  }

  /**
   * Sets the upstream aside if it has requests in flight and has sent nothing for {@link SILENCE_TIMEOUT_MS}. Returns
   * whether it did.
   */
  checkSilence(nowMs: number): boolean {
    if (
      this.running === 0 || nowMs - this.#silentSinceMs < SILENCE_TIMEOUT_MS
    ) {
      return false;
    }
    this.#silentSinceMs = nowMs;
    this.health.noteOutcome("lost", nowMs);
    return true;
  }
}

/** An upstream with the link to it. */
export interface LinkedCandidate extends StepCandidate {
  readonly upstream: KnownUpstream;
  readonly link: UpstreamLink;
  /** What is known of the engines' speed. */
  readonly pace: EnginePace;
  /** Prompt tokens that it would have to read. */
  readonly unreadTokens: number;
  /** Set if a lead chose it: the lead has checked its cold-start rate, and tracks which engine has read the prompt. */
  readonly grant?: Grant;
}

/** An upstream that wants no request from a VM, with the time left in ms. */
export type RestingUpstream = readonly [key: string, leftMs: number];

/** What a lead reports about an upstream that it chose. */
export interface Grant {
  readonly running: number;
  readonly waitingTokens: number;
  readonly unreadTokens: number;
  /** `IP:PORT` of an engine to copy the prompt's shared parts from. */
  readonly fetchFrom?: string;
}

/** What is known of a request's prompt. */
export interface PromptShape {
  readonly parts: readonly PromptPart[];
  readonly tokens: number;
}

/** The prompt of a request that has none. */
export const NO_PROMPT: PromptShape = { parts: [], tokens: 0 };
