/**
 * Tells ends to the VMs that have to know.
 *
 * @module
 */

import type { Clock, Timer } from "../base/mod.ts";
import { encodeEnds, type EndNews } from "../suspects/mod.ts";
import type { Datagrams } from "./datagrams.ts";
import type { Members } from "./members.ts";

/** An upstream breaks all of its connections within this time; what was seen of it goes out together. */
const TOGETHER_MS = 15;

/**
 * See the module. A VM tells the leads of its region, and a lead all VMs there, and the leads of other regions what is
 * not from one of them.
 */
export class EndTeller {
  readonly #region: string;
  readonly #datagrams: Datagrams;
  readonly #members: Members;
  readonly #clock: Clock;
  #near: EndNews[] = [];
  #far: EndNews[] = [];
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

  /** Tells rows in a moment; `isOwn` if they were seen in this region. */
  tell(rows: readonly EndNews[], isOwn: boolean): void {
    this.#near.push(...rows);
    if (isOwn) this.#far.push(...rows);
    this.#timer ??= this.#clock.after(TOGETHER_MS, () => this.#send());
  }

  close(): void {
    this.#timer?.close();
  }

  #send(): void {
    this.#timer = undefined;
    const [near, far] = [this.#near, this.#far];
    this.#near = [];
    this.#far = [];
    const members = this.#members;
    if (!members.isLead) {
      return this.#sendTo(members.leads.map(({ ip }) => ip), near);
    }
    this.#sendTo(members.reporters().map(({ ip }) => ip), near);
    const leadsElsewhere = members.regions().flatMap(({ digest }) =>
      digest.leads.map(({ ip }) => ip)
    );
    this.#sendTo(leadsElsewhere, far);
  }

  #sendTo(ips: readonly string[], rows: readonly EndNews[]): void {
    for (const told of encodeEnds(this.#region, rows)) {
      this.#datagrams.send("ends", told, ips);
    }
  }
}
