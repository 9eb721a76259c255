/**
 * The version at which a stream has to go on that its caller takes up again.
 *
 * @module
 */

import { fitName, type OriginSource } from "../region/mod.ts";
import type { ServiceConfig } from "../routing/mod.ts";
import type { CallInput } from "./call_input.ts";
import type { CallRecord } from "./call_record.ts";
import type { GatewayContext } from "./context.ts";
import { isHomeRegion } from "./local_placement.ts";
import type { Send } from "./send.ts";

/** Where a stream may go on; `version` is `undefined` if any version may serve it. */
export type ResumeVerdict =
  | { readonly type: "goOn"; readonly version: string | undefined }
  | { readonly type: "refused" };

type Fields = Readonly<Record<string, unknown>>;

const ANY_VERSION: ResumeVerdict = { type: "goOn", version: undefined };

/** Finds out which version began a stream, and notes it of a new one. */
export class CallOrigin {
  readonly #context: GatewayContext;
  readonly #input: CallInput;
  readonly #service: ServiceConfig;
  readonly #record: CallRecord;
  #isNoted = false;
  /** The version at which a resumed stream goes on. */
  #resumedAt: string | undefined;
  /** Whether its upstream is asked which process it is. */
  #isOpen = false;
  /** Whether the answer ended whole; `undefined` while it runs. */
  #endedWhole: boolean | undefined;

  constructor(
    context: GatewayContext,
    input: CallInput,
    service: ServiceConfig,
    record: CallRecord,
  ) {
    this.#context = context;
    this.#input = input;
    this.#service = service;
    this.#record = record;
  }

  /** Whether the request goes on after an event that its caller has from an earlier try. */
  get isResumed(): boolean {
    return this.#isTracked && Boolean(this.#input.head.resumesAfter);
  }

  /** Waits until VMs that start later know of the versions at which a stream is about to begin. */
  async waitUntilRecorded(): Promise<void> {
    const { route, head } = this.#input;
    if (route.kind !== "stream" || !route.resumable) return;
    if (head.resumesAfter) return;
    const { origins, upstreams } = this.#context;
    const { name } = this.#service;
    await Promise.all(
      [...upstreams.fleet.versionsOf(name)].map((version) =>
        origins.waitUntilRecorded(name, version, route)
      ),
    );
  }

  /** The VM that the caller is connected to tracks the streams that it may take up again. */
  get #isTracked(): boolean {
    const { route, relayed } = this.#input;
    return route.kind === "stream" && route.resumable && !relayed;
  }

  /**
   * Finds the version at which a resumed stream has to go on. One whose origin can't be known is refused: what another
   * version writes would not fit to what its caller has, while a new stream costs it a second run only.
   */
  async resolve(): Promise<ResumeVerdict> {
    if (!this.isResumed) return ANY_VERSION;
    const { firstAttemptId } = this.#input.head;
    const { origins } = this.#context;
    const { route } = this.#input;
    const service = this.#service.name;
    const answer = await origins.find(firstAttemptId, service, route);
    if (answer.type === "ambiguous") return this.#refuse("ambiguous");
    if (answer.type === "known") {
      const { version, source, ageMs } = answer;
      if (this.#isElsewhere(answer)) {
        return this.#refuse("moved", { firstService: answer.service });
      }
      const fields = { originAgeMs: Math.round(ageMs) };
      return this.#isServed(version)
        ? this.#goOn(version, source, fields)
        : this.#refuse("gone", { firstVersion: version, originFrom: source });
    }
    const { seen, isIncomplete, watchedMs, replies } = answer;
    const fields = {
      originWatchedMs: Math.round(watchedMs),
      originReplies: replies,
    };
    if (isIncomplete) return this.#refuse("unknown, nobody answers", fields);
    if (answer.hasMoved) {
      return this.#refuse("unknown, its route moved", fields);
    }
    if (seen.length === 1) return this.#goOn(seen[0], "only version", fields);
    return this.#refuse(`unknown, one of ${seen.join(" ")}`, fields);
  }

  /**
   * Notes that `send` brought the first event of the answer. Its version is that of an entry, which may be of another
   * process; the stream doesn't wait until that is known.
   */
  noteBegun(send: Send): void {
    const { route, relayed, head } = this.#input;
    if (this.#isNoted || route.kind !== "stream" || !route.resumable) return;
    this.#isNoted = true;
    const { run } = this.#record;
    const process = send.findProcess();
    run.noteProcess(process);
    if (head.resumesAfter) return this.#noteResumed();
    if (typeof process === "string") return this.#noteOrigin();
    this.#isOpen = true;
    const noted = run.processKnown.then(() => this.#noteOrigin());
    this.#context.origins.noteUnproven(head.attemptId, relayed, noted);
  }

  /** Keeps the origin of a resumed stream, which is that of its first try, while it runs. */
  #noteResumed(): void {
    const { head: { firstAttemptId }, relayed, route } = this.#input;
    if (relayed || firstAttemptId === undefined) return;
    const version = this.#resumedAt;
    if (version === undefined) return;
    const { origins } = this.#context;
    origins.noteBegun(firstAttemptId, this.#service.name, version, route);
  }

  #noteOrigin(): void {
    this.#isOpen = false;
    if (this.#endedWhole) return;
    const { head: { attemptId }, relayed, route } = this.#input;
    const { origins } = this.#context;
    const { run } = this.#record;
    if (relayed) return origins.noteRelayed(attemptId, run.began);
    if (run.isDoubtful) return origins.noteDoubtful(attemptId);
    if (run.began === undefined) return;
    origins.noteBegun(attemptId, this.#service.name, run.began, route);
    if (this.#endedWhole === false) origins.noteEnded(attemptId, false);
  }

  /** Notes the end of the answer. */
  noteEnded(isWhole: boolean): void {
    this.#endedWhole = isWhole;
    if (!this.#isNoted || !this.#isTracked) return;
    const { attemptId, firstAttemptId } = this.#input.head;
    const { origins } = this.#context;
    if (this.isResumed) {
      if (firstAttemptId !== undefined && this.#resumedAt !== undefined) {
        origins.noteEnded(firstAttemptId, isWhole);
      }
      return;
    }
    if (this.#isOpen) return;
    origins.noteEnded(attemptId, isWhole);
    if (this.#record.run.isDoubtful && !isWhole) {
      origins.noteDoubtful(attemptId);
    }
  }

  /** Whether another service than that of the route began the stream, or may have: a former program does not tell. */
  #isElsewhere(
    { service }: { readonly service?: string | undefined },
  ): boolean {
    if (service !== undefined) return service !== fitName(this.#service.name);
    return this.#context.origins.hasMoved(this.#input.route);
  }

  #isServed(version: string): boolean {
    const { homeRegions } = this.#input.caller;
    return this.#context.upstreams.fleet.usableInRegions(
      this.#service.name,
      (region) => isHomeRegion({ homeRegions }, region),
    ).some((upstream) => upstream.version === version);
  }

  #goOn(
    version: string | undefined,
    from: OriginSource | "only version",
    fields: Fields = {},
  ): ResumeVerdict {
    this.#resumedAt = version;
    this.#note(`went on, ${from}`, {
      firstVersion: version,
      originFrom: from,
      ...fields,
    });
    return { type: "goOn", version };
  }

  #refuse(reason: string, fields: Fields = {}): ResumeVerdict {
    const [kind] = reason.split(",");
    this.#note(`refused, ${kind}`, { originRefused: reason, ...fields });
    return { type: "refused" };
  }

  #note(outcome: string, fields: Fields): void {
    const { firstAttemptId } = this.#input.head;
    this.#record.noteOrigin({ firstAttempt: firstAttemptId, ...fields });
    this.#context.metrics.count("streams_resumed", `outcome="${outcome}"`);
  }
}
