/**
 * Watches which versions of its upstreams' software each service has, and keeps them in the store: all VMs may end at
 * once, and those that start then see only what serves now.
 *
 * @module
 */

import type { Entry, KeyValue } from "../adapters/mod.ts";
import type { Clock } from "../base/mod.ts";
import type { Log } from "../kernel/mod.ts";
import {
  decodeVersionRecord,
  encodeVersionRecord,
  ServedVersions,
  type VersionRecord,
} from "../region/mod.ts";
import type { Fleet } from "../routing/mod.ts";

/**
 * How often the record is read again while a stream runs whose version has left the store: other VMs don't know of the
 * stream, and take its version out.
 */
const CHECK_AGAIN_MS = 5_000;
/** Pause after a call that failed. */
const RETRY_MS = 1_000;
/** How long the first streams at a version wait until it is recorded: longer than a store that is near takes. */
const RECORD_WAIT_MS = 500;
/** Pause between two looks at a record that this VM can't ask for now. */
const LOOK_AGAIN_MS = 20;
/** Size up to which the record is written; the store accepts some times as much. */
const MAX_RECORD_CHARS = 256 * 1024;

/** Options of {@link VersionWatch}. */
export interface VersionWatchOptions {
  readonly fleet: Pick<Fleet, "services" | "versionsOf">;
  readonly store: KeyValue;
  /** Key of the record. */
  readonly key: string;
  /** Whether nothing served before this process, so that a missing record is complete. */
  readonly isFirstStart: boolean;
  /** Whether this VM writes what all see. Several may: a write is made only if nobody else wrote meanwhile. */
  readonly isWriter: () => boolean;
  readonly clock: Clock;
  readonly log: Log;
}

/** The record as it was read or written last. */
interface StoredRecord {
  /** 0 if there is none. */
  readonly rev: number;
  readonly text: string;
}

/** Watches the versions in service. */
export class VersionWatch {
  readonly #options: VersionWatchOptions;
  readonly #served: ServedVersions;
  #stored: StoredRecord | undefined;
  #generation: number | undefined;
  /** The call to the store that is under way. */
  #call: Promise<void> | undefined;
  #nextCallMs = -Infinity;
  #readMs = -Infinity;
  /** Whether a missing record says that nothing served. Later it says that the store has lost it. */
  #mayBeFirst: boolean;
  /** Versions of streams that run, without those that are in the store's entries; by service, as texts. */
  readonly #leftRunning = new Set<string>();
  /** What the record is known to list; `none` if there is none that can be read, from which nobody concludes anything. */
  #known: VersionRecord | "none" | undefined;
  /** Versions at which streams are to begin and that the record lacks; they wait for it until then. By service, as texts. */
  readonly #awaited = new Map<string, number>();
  /** Revision of the record that this VM wrote last. */
  #writtenRev: number | undefined;
  /** How often this process was held up; what was asked for before may be out of date. */
  #pauses = 0;
  #isOpen = true;

  constructor(options: VersionWatchOptions) {
    const { clock, isFirstStart } = options;
    this.#options = options;
    this.#mayBeFirst = isFirstStart;
    this.#served = new ServedVersions({
      monoMs: clock.monoMs(),
      wallMs: clock.nowMs(),
    });
  }

  /** Notes what serves now, and reads or writes the record if that is due. */
  tick(): void {
    const { clock } = this.#options;
    const nowMs = clock.monoMs();
    const now = { monoMs: nowMs, wallMs: clock.nowMs() };
    if (this.#served.noteWatching(now)) {
      this.#pauses++;
      this.#stored = undefined;
    }
    this.noteServed();
    this.#forgetAwaited();
    this.#checkStore(nowMs);
    this.#leftRunning.clear();
  }

  /** Notes what serves now; it may have changed before the next tick. */
  noteServed(): void {
    for (const service of this.#options.fleet.services()) this.recent(service);
  }

  close(): void {
    this.#isOpen = false;
  }

  /** Notes, before each tick, that a stream of a version runs. */
  noteRunning(service: string, version: string): void {
    const { clock, fleet } = this.#options;
    this.#served.note(service, version, clock.monoMs());
    if (fleet.versionsOf(service).has(version)) return;
    this.#leftRunning.add(JSON.stringify([service, version]));
  }

  /** The versions that a service has, or had lately. */
  recent(service: string): string[] {
    const { clock, fleet } = this.#options;
    const nowMs = clock.monoMs();
    for (const version of fleet.versionsOf(service)) {
      this.#served.note(service, version, nowMs);
    }
    return this.#served.recent(service, nowMs);
  }

  /** Whether {@link VersionWatch.recent} lists all versions that may have begun a stream which still counts. */
  get knowsAll(): boolean {
    return this.#served.knowsAll(this.#options.clock.monoMs());
  }

  get watchedMs(): number {
    return this.#served.watchedMs(this.#options.clock.monoMs());
  }

  /** Waits until the record is read, if that is under way, but not for long. */
  async waitForRecord(timeoutMs: number): Promise<void> {
    if (this.knowsAll || !this.#call) return;
    await Promise.race([this.#call, this.#options.clock.sleep(timeoutMs)]);
  }

  /**
   * Waits until a version is recorded at which a stream is about to begin: if all VMs end, those that start go by the
   * record. Not for long, as the store may be away.
   */
  async waitUntilRecorded(service: string, version: string): Promise<void> {
    const { clock } = this.#options;
    const name = JSON.stringify([service, version]);
    while (this.#isOpen && !this.#isRecorded(service, version)) {
      const nowMs = clock.monoMs();
      this.#served.note(service, version, nowMs);
      const untilMs = this.#awaited.get(name) ?? nowMs + RECORD_WAIT_MS;
      this.#awaited.set(name, untilMs);
      if (nowMs >= untilMs) return;
      this.#checkStore(nowMs);
      await Promise.race([
        this.#call ?? clock.sleep(LOOK_AGAIN_MS),
        clock.sleep(untilMs - nowMs),
      ]);
    }
    this.#awaited.delete(name);
  }

  dump(): unknown {
    return {
      watchedMs: this.watchedMs,
      knowsAll: this.knowsAll,
      recordRev: this.#stored?.rev,
      served: [...this.#served.record(this.#options.clock.monoMs())],
    };
  }

  #checkStore(nowMs: number): void {
    const { store } = this.#options;
    if (this.#call || nowMs < this.#nextCallMs) return;
    const isRestored = this.#stored !== undefined &&
      store.generation !== this.#generation;
    const mayBeOutdated = this.#leftRunning.size > 0 &&
      nowMs - this.#readMs >= CHECK_AGAIN_MS;
    if (isRestored) this.#known = undefined;
    if (isRestored || mayBeOutdated || this.#hasToLook) {
      this.#stored = undefined;
    }
    if (!this.#stored) this.#run(() => this.#read());
    else if (this.knowsAll) this.#writeIfDue(nowMs);
  }

  #isRecorded(service: string, version: string): boolean {
    if (this.#known === "none") return true;
    return this.#known?.get(service)?.includes(version) ?? false;
  }

  /** Whether another VM may have recorded an awaited version, which costs the store less than an attempt to do it too. */
  get #hasToLook(): boolean {
    const { isWriter } = this.#options;
    return !isWriter() &&
      [...this.#awaited.values()].some((untilMs) =>
        this.#readMs < untilMs - RECORD_WAIT_MS
      );
  }

  /** Forgets versions that are recorded, or have gone: streams wait again when those are back. */
  #forgetAwaited(): void {
    for (const name of this.#awaited.keys()) {
      const [service, version] = JSON.parse(name) as [string, string];
      const isGone = !this.recent(service).includes(version);
      if (isGone || this.#isRecorded(service, version)) {
        this.#awaited.delete(name);
      }
    }
  }

  /**
   * Only this VM may know that a version which has left the store's entries still runs, so it writes that down itself if
   * the record lacks it, and takes it out again unless another VM wrote since.
   */
  get #mayWrite(): boolean {
    return this.#options.isWriter() || this.#lacksRunning ||
      this.#awaited.size > 0 ||
      this.#stored?.rev === this.#writtenRev;
  }

  /** Whether the record lacks the version of a stream that runs. */
  get #lacksRunning(): boolean {
    if (this.#leftRunning.size === 0) return false;
    const record = decodeVersionRecord(this.#stored?.text ?? "");
    return [...this.#leftRunning].some((text) => {
      const [service, version] = JSON.parse(text) as [string, string];
      return !record?.get(service)?.includes(version);
    });
  }

  #writeIfDue(nowMs: number): void {
    if (!this.#mayWrite) return;
    const text = encodeVersionRecord(this.#served.record(nowMs));
    if (text === this.#stored?.text || text.length > MAX_RECORD_CHARS) return;
    this.#run(() => this.#write(text));
  }

  #run(call: () => Promise<void>): void {
    this.#call = call().finally(() => {
      this.#call = undefined;
      if (this.#isOpen) this.#checkStore(this.#options.clock.monoMs());
    });
  }

  async #read(): Promise<void> {
    const { store, key } = this.#options;
    const pauses = this.#pauses;
    const found = await store.get(key, "other");
    if (!this.#isOpen || pauses !== this.#pauses) return;
    if (found.isErr()) return this.#noteFailure("read", found.error.message);
    this.#take(found.value);
  }

  /** Takes over the record that the store has. */
  #take(entry: Entry | undefined): void {
    const { store, clock, log } = this.#options;
    const record = this.#decode(entry);
    this.#known = record ?? "none";
    this.#mayBeFirst = false;
    this.#generation = store.generation;
    this.#readMs = clock.monoMs();
    this.#stored = { rev: entry?.rev ?? 0, text: entry?.value ?? "" };
    // Without one, it is written as soon as this VM has watched for long enough by itself.
    if (record) this.#served.noteRecord(record, clock.monoMs());
    log.info("versions read", {
      rev: this.#stored.rev,
      record: record ? encodeVersionRecord(record) : "none that can be read",
    });
  }

  #decode(entry: Entry | undefined): VersionRecord | undefined {
    if (entry) return decodeVersionRecord(entry.value);
    return this.#mayBeFirst ? new Map() : undefined;
  }

  async #write(text: string): Promise<void> {
    const { store, key, log } = this.#options;
    const ifRev = this.#stored?.rev ?? 0;
    const pauses = this.#pauses;
    const put = await store.put(key, text, { ifRev }, "other");
    if (!this.#isOpen || pauses !== this.#pauses) return;
    if (put.isOk()) {
      this.#writtenRev = put.value;
      this.#stored = { rev: put.value, text };
      this.#known = decodeVersionRecord(text);
      log.info("versions recorded", { rev: put.value, record: text });
      return;
    }
    const { error } = put;
    if (error.kind === "conflict") return this.#take(error.current);
    // It may have been written all the same.
    this.#stored = undefined;
    this.#noteFailure("write", error.message);
  }

  #noteFailure(call: "read" | "write", reason: string): void {
    const { clock, log } = this.#options;
    this.#nextCallMs = clock.monoMs() + RETRY_MS;
    log.warn("versions not kept", { call, reason });
  }
}
