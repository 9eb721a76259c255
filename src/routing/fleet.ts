/**
 * The known upstreams, by service.
 *
 * @module
 */

import { hash32 } from "../base/mod.ts";
import { LeavingUpstreams } from "./leaving.ts";
import type { UpstreamRecord } from "./types.ts";

/** An upstream's registration, with its region and the time until which it is cold. */
export interface KnownUpstream extends UpstreamRecord {
  /** Hash of the key. */
  readonly hash: number;
  readonly region: string;
  readonly coldUntilMs: number;
}

/** The upstreams of one service that may be sent requests. The lists by region are made when they are first read. */
class UsableUpstreams {
  readonly #all: readonly KnownUpstream[];
  readonly #regions: readonly string[];
  readonly #byRegions = new Map<string, readonly KnownUpstream[]>();

  constructor(all: readonly KnownUpstream[]) {
    this.#all = all;
    this.#regions = [...new Set(all.map(({ region }) => region))];
  }

  inRegion(region: string): readonly KnownUpstream[] {
    return this.#byRegions.get(region) ?? this.#list(region, [region]);
  }

  inRegions(isAllowed: (region: string) => boolean): readonly KnownUpstream[] {
    const allowed = this.#regions.filter(isAllowed);
    if (allowed.length === this.#regions.length) return this.#all;
    const names = allowed.join("\n");
    return this.#byRegions.get(names) ?? this.#list(names, allowed);
  }

  #list(names: string, regions: readonly string[]): readonly KnownUpstream[] {
    const list = this.#all.filter(({ region }) => regions.includes(region));
    this.#byRegions.set(names, list);
    return list;
  }
}

/**
 * Holds the upstreams' entries as they were last read. {@link Fleet.usableIn} lists the upstreams that may be sent
 * requests.
 */
export class Fleet {
  readonly #byId = new Map<string, KnownUpstream>();
  /** The upstreams by service; absent since the last change of an entry until the next read. */
  #byService: Map<string, KnownUpstream[]> | undefined;
  /** Made when they are first read after a change of an entry. */
  readonly #versions = new Map<string, ReadonlySet<string>>();
  /** Read for each request, and rebuilt only after a change of an entry, of the evacuation or of what leaves. */
  readonly #usable = new Map<string, UsableUpstreams>();
  #evacuated: ReadonlySet<string> = new Set();
  readonly #leaving = new LeavingUpstreams();
  readonly #regionOf: (failureDomain: string) => string | undefined;

  constructor(regionOf: (failureDomain: string) => string | undefined) {
    this.#regionOf = regionOf;
  }

  /** Stores an entry. An upstream with an unknown failure domain is not used. Returns the previous entry. */
  put(record: UpstreamRecord, nowMs: number): KnownUpstream | undefined {
    const before = this.#byId.get(record.id);
    const region = this.#regionOf(record.failureDomain);
    if (region === undefined) this.#byId.delete(record.id);
    else {this.#byId.set(record.id, {
        ...record,
        hash: before?.key === record.key ? before.hash : hash32(record.key),
        region,
        coldUntilMs: nowMs + record.coldLeftMs,
      });}
    this.#noteChange();
    return before;
  }

  /** Removes an upstream. Returns its previous entry. */
  delete(id: string): KnownUpstream | undefined {
    const before = this.#byId.get(id);
    this.#byId.delete(id);
    this.#noteChange();
    return before;
  }

  /** Keeps an upstream cold until a time at least. */
  keepCold(id: string, untilMs: number): void {
    const known = this.#byId.get(id);
    if (!known || known.coldUntilMs >= untilMs) return;
    this.#byId.set(id, { ...known, coldUntilMs: untilMs });
    this.#noteChange();
  }

  /** Sets the failure domains that get no requests until their evacuation ends. */
  setEvacuated(failureDomains: ReadonlySet<string>): void {
    this.#evacuated = failureDomains;
    this.#usable.clear();
  }

  /** Notes that an upstream said in an answer that it leaves. Returns whether that is news. */
  noteLeaving(key: string, nowMs: number): boolean {
    const isNews = this.#leaving.note(key, nowMs);
    if (isNews) this.#usable.clear();
    return isNews;
  }

  /** Whether an upstream said that it leaves, in its entry or in an answer. */
  isLeaving(key: string): boolean {
    return this.#leaving.has(key) ||
      this.#getByKey(key)?.state === "draining";
  }

  /** Upstreams that said that they leave while their entries still say that they are ready. */
  get announcedLeaving(): string[] {
    return this.#leaving.announced((key) =>
      this.#getByKey(key)?.state === "ready"
    );
  }

  /** Forgets what was said by upstreams that are long gone. */
  forgetLeft(nowMs: number): void {
    this.#leaving.forget((key) => this.#getByKey(key) !== undefined, nowMs);
  }

  ids(): string[] {
    return [...this.#byId.keys()];
  }

  get(id: string): KnownUpstream | undefined {
    return this.#byId.get(id);
  }

  /**
   * Lists the upstreams of a service in a region that may be sent requests now: those that neither drain, by their entry
   * or their answers, nor are evacuated. The list is the same object until one of them changes.
   */
  usableIn(service: string, region: string): readonly KnownUpstream[] {
    return this.#usableOf(service).inRegion(region);
  }

  /** Lists the upstreams of a service that may be sent requests now, in all allowed regions. */
  usableInRegions(
    service: string,
    isAllowed: (region: string) => boolean,
  ): readonly KnownUpstream[] {
    return this.#usableOf(service).inRegions(isAllowed);
  }

  /** The services that have upstreams. */
  services(): string[] {
    return [...this.#index().keys()];
  }

  /** The versions of software that the upstreams of a service run, in all regions and states. */
  versionsOf(service: string): ReadonlySet<string> {
    let versions = this.#versions.get(service);
    if (versions) return versions;
    const upstreams = this.#index().get(service) ?? [];
    versions = new Set(upstreams.map(({ version }) => version));
    this.#versions.set(service, versions);
    return versions;
  }

  /** Whether a region has an upstream of a version that may be sent requests now. */
  hasVersion(service: string, region: string, version: string): boolean {
    return this.usableIn(service, region)
      .some((upstream) => upstream.version === version);
  }

  /** Whether an upstream is still registered with the same key and version, and may be sent requests. */
  canUse(upstream: KnownUpstream): boolean {
    const known = this.#byId.get(upstream.id);
    return known?.key === upstream.key && known.version === upstream.version &&
      known.state === "ready" &&
      !this.#leaving.has(upstream.key) &&
      !this.#evacuated.has(upstream.failureDomain);
  }

  dump(): unknown {
    return {
      upstreams: [...this.#byId.values()],
      evacuated: [...this.#evacuated],
      leaving: [...this.#byId.values()].map(({ key }) => key)
        .filter((key) => this.#leaving.has(key)),
    };
  }

  #getByKey(key: string): KnownUpstream | undefined {
    const known = this.#byId.get(key.slice(0, key.lastIndexOf("@")));
    return known?.key === key ? known : undefined;
  }

  #noteChange(): void {
    this.#byService = undefined;
    this.#versions.clear();
    this.#usable.clear();
  }

  #usableOf(service: string): UsableUpstreams {
    let usable = this.#usable.get(service);
    if (usable) return usable;
    const upstreams = this.#index().get(service) ?? [];
    usable = new UsableUpstreams(
      upstreams.filter((upstream) => this.canUse(upstream)),
    );
    this.#usable.set(service, usable);
    return usable;
  }

  #index(): ReadonlyMap<string, readonly KnownUpstream[]> {
    if (this.#byService) return this.#byService;
    const byService = new Map<string, KnownUpstream[]>();
    for (const upstream of this.#byId.values()) {
      const list = byService.get(upstream.service);
      if (list) list.push(upstream);
      else byService.set(upstream.service, [upstream]);
    }
    this.#byService = byService;
    return byService;
  }
}
