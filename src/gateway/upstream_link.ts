/**
 * This VM's side of one upstream, and an upstream as a request sees it.
 *
 * @module
 */

import {
  ColdRateLimiter,
  type EnginePace,
  type KnownUpstream,
  type PromptPart,
  selectColdOwner,
  type StepCandidate,
  UpstreamHealth,
} from "../routing/mod.ts";
import { KeepAliveAgent } from "./keep_alive_agent.ts";

/**
 * An upstream that owes answers and sends nothing for this long has gone dark or hangs: engines at work send events
 * several times as often, and a plain service's slowest usual answer takes less.
 */
const SILENCE_TIMEOUT_MS = 600;

/** Two VMs that lose an upstream within this time have lost the same one; at its usual rate it takes them a tenth of it. */
const SAME_LOSS_WINDOW_MS = 1_000;

/** This VM's side of one upstream. */
export class UpstreamLink {
  readonly agent: KeepAliveAgent;
  readonly health = new UpstreamHealth();
  readonly coldPace = new ColdRateLimiter();
  /** Called now and then for each stream that runs there, so that it can leave an engine that reads. */
  readonly streamChecks = new Set<() => void>();
  /** Called for each request that is there when the upstream turns out to be dark. */
  readonly darkListeners = new Set<() => void>();
  running = 0;
  /** Requests under way under which upstreams ended before. */
  suspectCount = 0;
  waitingTokens = 0;
  usedMonoMs: number;
  /** Where the last request was sent. */
  upstream: KnownUpstream | undefined;

  #silentSinceMs: number;
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
   * Which VM alone may send there while it is cold. Kept as long as the list of VMs is the same one: with 30 neighbours
   * and ten cold upstreams asking anew took 0.4 ms a request.
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

  /**
   * Notes that a VM lost its connection here; whether another one did so too, a moment ago. A VM whose own links fail
   * loses every upstream, and must not have the whole region leave them.
   */
  confirmLoss(vmId: string, nowMs: number): boolean {
    const previous = this.#lastLoss;
    this.#lastLoss = { vmId, lostMs: nowMs };
    return previous !== undefined && previous.vmId !== vmId &&
      nowMs - previous.lostMs < SAME_LOSS_WINDOW_MS;
  }

  /** Notes that bytes came. */
  noteReceived(nowMs: number): void {
    this.#silentSinceMs = nowMs;
  }

  /** Sets the upstream aside if it owes answers and has sent nothing for long. */
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
  /** Prompt tokens that it will have to read. */
  readonly unreadTokens: number;
  /** Set if a lead chose it: the lead has looked at its cold start, and knows who has read the prompt. */
  readonly grant?: Grant;
}

/** What a lead says of an upstream that it chose. */
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

/** A request without a prompt. */
export const NO_PROMPT: PromptShape = { parts: [], tokens: 0 };
