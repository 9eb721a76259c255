/**
 * What a region publishes on the platform, by one of its VMs: the weights of its upstreams, and its entry VMs in the
 * callers' directory. Only what changed is sent, and never faster than the platform allows.
 *
 * @module
 */

import type { DirectoryEntry, Weights } from "../adapters/mod.ts";
import type { Table } from "../agreement/mod.ts";
import type { VmInfo } from "./messages.ts";

/** The share of its region's most able upstream that each of a service's upstreams can take, 0 to 1. */
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

/** A region's entries in the callers' directory: its VMs that stay, alike. */
export function directoryEntries(vms: readonly VmInfo[]): DirectoryEntry[] {
  return vms
    .filter((vm) => vm.state === "live")
    .map((vm) => ({ vmId: vm.id, url: vm.callerUrl, weight: 1 }))
    .sort((a, b) => (a.vmId < b.vmId ? -1 : 1));
}

/** Something to publish under a name. */
export interface Publication {
  readonly name: string;
  readonly content: unknown;
}

/** Unchanged content is sent again this often: a store that lost it has it back. */
const REPEAT_INTERVAL_MS = 300_000;

/** Remembers what the platform has, and picks what to send next. Free of I/O. */
export class PublicationQueue {
  readonly #sent = new Map<string, { text: string; atMs: number }>();

  /** The publication that waits longest, if any differs from what was sent. */
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

  /** The platform took it. */
  markSent({ name, content }: Publication, nowMs: number): void {
    this.#sent.set(name, { text: JSON.stringify(content), atMs: nowMs });
  }

  /** Another VM publishes now: what the platform has is not known any more. */
  clear(): void {
    this.#sent.clear();
  }
}
