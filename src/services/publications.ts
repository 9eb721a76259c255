/**
 * What one VM of a region publishes on the platform: the weights of the region's upstreams, and its entry VMs in the
 * callers' directory. Only changes are sent, and never faster than the platform allows.
 *
 * @module
 */

import type { DirectoryEntry, Weights } from "../adapters/mod.ts";
import type { Table } from "../agreement/mod.ts";
import type { VmInfo } from "./messages.ts";

/** The weight of each upstream of a service: its slots relative to the region's largest one, 0 if it is not active. */
export function weightsOf(
  table: Table,
  service: string,
  region: string,
): Weights {
  const rows = table.upstreams(service, region);
  const maxSlots = Math.max(1, ...rows.map((row) => row.slots));
  const weights: Record<string, number> = {};
  for (const row of rows) {
    const weight = row.state === "active" ? row.slots / maxSlots : 0;
    weights[row.id] = Math.round(weight * 1000) / 1000;
  }
  return weights;
}

/** A region's entries in the callers' directory: its VMs that are not draining, all with the same weight. */
export function directoryEntries(vms: readonly VmInfo[]): DirectoryEntry[] {
  return vms
    .filter((vm) => vm.state === "live")
    .map((vm) => ({ vmId: vm.id, url: vm.callerUrl, weight: 1 }))
    .sort((a, b) => (a.vmId < b.vmId ? -1 : 1));
}

/** Content to publish under a name. */
export interface Publication {
  readonly name: string;
  readonly content: unknown;
}

/** Unchanged content is sent again this often, in case the store lost it. */
const REPEAT_INTERVAL_MS = 300_000;

/** Records what the platform has, and selects what to send next. Free of I/O. */
export class PublicationQueue {
  readonly #sent = new Map<string, { text: string; atMs: number }>();

  /** The least recently sent publication among those that are due, or `undefined` if none is. */
  next(wanted: readonly Publication[], nowMs: number): Publication | undefined {
    let oldest: Publication | undefined;
    let oldestMs = Infinity;
    for (const publication of wanted) {
      const sent = this.#sent.get(publication.name);
      const text = JSON.stringify(publication.content);
      const isUnchanged = sent?.text === text &&
        nowMs - sent.atMs < REPEAT_INTERVAL_MS;
      const sentMs = sent?.atMs ?? 0;
      if (isUnchanged || sentMs >= oldestMs) continue;
      oldest = publication;
      oldestMs = sentMs;
    }
    return oldest;
  }

  /** Records that the platform accepted a publication. */
  markSent({ name, content }: Publication, nowMs: number): void {
    this.#sent.set(name, { text: JSON.stringify(content), atMs: nowMs });
  }

  /** Forgets all records, since another VM publishes and what the platform has is unknown. */
  clear(): void {
    this.#sent.clear();
  }
}
