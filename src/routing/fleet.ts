/**
 * The upstreams that are known, by service.
 *
 * @module
 */

import { hash32 } from "../base/mod.ts";
import type { UpstreamRecord } from "./types.ts";

/** How long an upstream stays cold, as a point in time. */
export interface KnownUpstream extends UpstreamRecord {
  /** Hash of the key. */
  readonly hash: number;
  readonly region: string;
  readonly coldUntilMs: number;
}

/** Whether an upstream's entry says anything else than the one before, its cold time aside. */
export function hasChanged(
  before: UpstreamRecord,
  after: UpstreamRecord,
): boolean {
  return before.key !== after.key || before.service !== after.service ||
    before.host !== after.host || before.port !== after.port ||
    before.failureDomain !== after.failureDomain ||
    before.slots !== after.slots || before.state !== after.state;
}

/** See the module. Holds the entries as they were last read; {@link Fleet.usableIn} lists what may be sent to. */
export class Fleet {
  readonly #byId = new Map<string, KnownUpstream>();
  #byService = new Map<string, KnownUpstream[]>();
  #evacuated: ReadonlySet<string> = new Set();
  readonly #regionOf: (failureDomain: string) => string | undefined;

  constructor(regionOf: (failureDomain: string) => string | undefined) {
    this.#regionOf = regionOf;
  }

  /** Takes in an entry; what names an unknown failure domain is not used. Returns what stood there before. */
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
    this.#rebuildIndex();
    return before;
  }

  /** Forgets an upstream. Returns what stood there before. */
  delete(id: string): KnownUpstream | undefined {
    const before = this.#byId.get(id);
    this.#byId.delete(id);
    this.#rebuildIndex();
    return before;
  }

  /** The failure domains that get nothing until they are taken back. */
  setEvacuated(failureDomains: ReadonlySet<string>): void {
    this.#evacuated = failureDomains;
  }

  ids(): string[] {
    return [...this.#byId.keys()];
  }

  get(id: string): KnownUpstream | undefined {
    return this.#byId.get(id);
  }

  /** The upstreams of a service in a region that may be sent requests now: neither leaving nor evacuated. */
  usableIn(service: string, region: string): KnownUpstream[] {
    return this.usableInRegions(service, (name) => name === region);
  }

  /** The upstreams of a service in some regions that may be sent requests now. */
  usableInRegions(
    service: string,
    isAllowed: (region: string) => boolean,
  ): KnownUpstream[] {
    return (this.#byService.get(service) ?? []).filter((upstream) =>
      isAllowed(upstream.region) && this.canUse(upstream)
    );
  }

  /** Whether an upstream is still the one that is known, and may be sent requests. */
  canUse(upstream: KnownUpstream): boolean {
    return this.#byId.get(upstream.id)?.key === upstream.key &&
      this.#byId.get(upstream.id)?.state === "ready" &&
      !this.#evacuated.has(upstream.failureDomain);
  }

  dump(): unknown {
    return {
      upstreams: [...this.#byId.values()],
      evacuated: [...this.#evacuated],
    };
  }

  #rebuildIndex(): void {
    this.#byService = new Map();
    for (const upstream of this.#byId.values()) {
      const list = this.#byService.get(upstream.service) ?? [];
      list.push(upstream);
      this.#byService.set(upstream.service, list);
    }
  }
}
