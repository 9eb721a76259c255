/**
 * Notifies the VMs concerned of upstreams that crashed under a request.
 *
 * @module
 */

import type { Clock, Timer } from "../base/mod.ts";
import { type CrashRow, encodeCrashes } from "../suspects/mod.ts";
import type { Datagrams } from "./datagrams.ts";
import type { Members } from "./members.ts";

/** A crashed upstream breaks all of its connections within this time; the rows about it are sent together. */
const BATCH_MS = 15;

/**
 * Sends rows about crashed upstreams in batches. A VM notifies the leads of its region. A lead notifies all VMs of its
 * region, and the leads of other regions unless the rows came from one of them.
 */
export class CrashNotifier {
  readonly #region: string;
  readonly #datagrams: Datagrams;
  readonly #members: Members;
  readonly #clock: Clock;
  #regionRows: CrashRow[] = [];
  #otherRegionsRows: CrashRow[] = [];
  #timer: Timer | undefined;

  constructor(
    region: string,
    datagrams: Datagrams,
    members: Members,
    clock: Clock,
  ) {
    this.#region = region;
    this.#datagrams = datagrams;
    this.#members = members;
    this.#clock = clock;
  }

  /** Queues rows for the next batch; `isFromThisRegion` if they were seen in this region. */
  notify(rows: readonly CrashRow[], isFromThisRegion: boolean): void {
    this.#regionRows.push(...rows);
    if (isFromThisRegion) this.#otherRegionsRows.push(...rows);
    this.#timer ??= this.#clock.after(BATCH_MS, () => this.#send());
  }

  close(): void {
    this.#timer?.close();
  }

  #send(): void {
    this.#timer = undefined;
    const [regionRows, otherRegionsRows] = [
      this.#regionRows,
      this.#otherRegionsRows,
    ];
    this.#regionRows = [];
    this.#otherRegionsRows = [];
    const members = this.#members;
    if (!members.isLead) {
      return this.#sendTo(members.leads.map(({ ip }) => ip), regionRows);
    }
    this.#sendTo(members.reporters().map(({ ip }) => ip), regionRows);
    const leadsElsewhere = members.otherRegions().flatMap(({ digest }) =>
      digest.leads.map(({ ip }) => ip)
    );
    this.#sendTo(leadsElsewhere, otherRegionsRows);
  }

  #sendTo(ips: readonly string[], rows: readonly CrashRow[]): void {
    for (const message of encodeCrashes(this.#region, rows)) {
      this.#datagrams.send("ends", message, ips);
    }
  }
}
