/**
 * Which version of the upstreams' software began the answer to one request, and which upstreams continued it.
 *
 * @module
 */

import type { Clock } from "../base/mod.ts";
import type { Fleet, KnownUpstream } from "../routing/mod.ts";
import type { ProcessVerdict } from "./process_proof.ts";

/** Upstreams that continued an answer that a log line names; a stream that breaks off more often needs no longer line. */
const MAX_LOGGED = 4;

/** The caller of an answer that broke off waits no longer than this for a report, or for a VM of another region. */
const MAX_PROCESS_WAIT_MS = 300;

/** Where an answer comes from. */
export interface AnswerSource {
  /** Version of the software of the upstream that answers; `undefined` if it is not known. */
  readonly version: string | undefined;
  /** The upstream, as it was known when the request was sent; `undefined` for one of another region. */
  readonly upstream: KnownUpstream | undefined;
}

/** The versions of one answer, as far as this VM knows them. */
export class RunVersion {
  #first: AnswerSource | undefined;
  /** Whether the entry of the upstream that began the answer named another version when it broke off. */
  #isAmbiguous = false;
  #hasBroken = false;
  /** Which process began the answer; `undefined` while it is asked. */
  #process: ProcessVerdict | undefined = "unknown";
  /** Resolves when the process is known that began the answer, or can't be known. */
  processKnown: Promise<void> = Promise.resolve();
  readonly #continuedBy: string[] = [];
  #notContinued: string | undefined;

  /**
   * Notes that the body of an answer is about to be forwarded; `place` is its upstream, or a VM of another region.
   * `hasEvents` says whether the caller has got events from an answer before.
   */
  noteAnswer(
    { version, upstream }: AnswerSource,
    place: string,
    hasEvents: boolean,
  ): void {
    if (!hasEvents) {
      this.#first = { version, upstream };
      this.#hasBroken = false;
      return;
    }
    this.#hasBroken = true;
    if (this.#continuedBy.length < MAX_LOGGED) {
      this.#continuedBy.push(`${place}/${version ?? "unknown"}`);
    }
  }

  /** Notes which process began the answer, or that it is asked. */
  noteProcess(process: ProcessVerdict | Promise<ProcessVerdict>): void {
    if (typeof process === "string") {
      this.#process = process;
      return;
    }
    this.#process = undefined;
    this.processKnown = process.then((verdict) => {
      this.#process = verdict;
    });
  }

  /** Waits until it is known which process began the answer, which decides whether the answer may go on. */
  async waitForProcess(clock: Clock): Promise<void> {
    if (this.#process !== undefined) return;
    await Promise.race([this.processKnown, clock.sleep(MAX_PROCESS_WAIT_MS)]);
  }

  /** Whether the entry that named the version may be of another process than the one that began the answer. */
  get #isOtherProcess(): boolean {
    return this.#process !== "confirmed" && this.#process !== "unknown";
  }

  /** Whether there is an answer of which it can't be told which version began it. */
  get isDoubtful(): boolean {
    return this.#first !== undefined &&
      (this.#isAmbiguous || this.#isOtherProcess);
  }

  /**
   * Notes that the answer broke off. If the entry of its upstream names another version by now, the upstream may have
   * been replaced before the request was sent, or its entry is wrong. An upstream that is replaced after it broke off
   * is not known at this moment.
   */
  noteBreak(fleet: Fleet): void {
    if (this.#hasBroken || !this.#first) return;
    this.#hasBroken = true;
    const { upstream } = this.#first;
    const known = upstream && fleet.get(upstream.id);
    this.#isAmbiguous = known !== undefined &&
      known.version !== upstream?.version;
  }

  /** The version that began the answer; `undefined` if there is no answer yet, or its version is not known. */
  get began(): string | undefined {
    return this.isDoubtful ? undefined : this.#first?.version;
  }

  /**
   * The version at which the answer may go on; `undefined` if it is not known which version began it. A VM of another
   * region may not tell; the version is known all the same if `onlyVersion` is all that served lately.
   */
  versionToGoOn(onlyVersion: string | undefined): string | undefined {
    return this.isDoubtful ? undefined : this.began ?? onlyVersion;
  }

  /** Notes that the answer can't go on: the version that began it is not known, or has no upstream left to try. */
  noteNotContinued(version: string | undefined): void {
    if (version !== undefined) {
      this.#notContinued = `no upstream of version "${version}" is left`;
    } else if (this.#isAmbiguous) {
      this.#notContinued = "the entry of its upstream names another version";
    } else if (this.#isOtherProcess) {
      this.#notContinued = "its upstream's entry may be of another process";
    } else this.#notContinued = "the other VM did not tell the version";
  }

  /** What log lines tell of it. */
  get fields(): Readonly<Record<string, unknown>> {
    if (!this.#first) return {};
    return {
      version: this.began ?? "unknown",
      firstProcess: this.#process,
      ...(this.#continuedBy.length > 0
        ? { continuedBy: this.#continuedBy.join() }
        : {}),
      ...(this.#notContinued === undefined
        ? {}
        : { notContinued: this.#notContinued }),
    };
  }
}
