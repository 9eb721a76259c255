/**
 * When a lead's rosters are due, to whom, and what they carry.
 *
 * @module
 */

import { PARTIAL_ROSTER_EVERY_MS, rosterEveryMs } from "./intervals.ts";
import type { HeardRoster } from "./heard_rosters.ts";
import type { ReplicaStates, Report, Roster, VmState } from "./messages.ts";

/** A change makes a roster due at once, but two rosters are at least this far apart. */
const MIN_ROSTER_GAP_MS = 100;
/**
 * After a change rosters are more frequent, so that a lost one delays no VM. If the list of VMs has changed, all of them
 * carry names; later only some do.
 */
const CHANGED_ROSTER_EVERY_MS = 200;
/** How long rosters stay frequent after a change. */
const AFTER_CHANGE_MS = 500;
/** Longest time between rosters with names. */
const NAMED_EVERY_MS = 2_000;
/** Number of leads that announce a change from which on others need not: with two, a lost datagram delays no VM. */
const ENOUGH_ANNOUNCERS = 2;

/** A roster that is due. */
export interface RosterDue {
  readonly type: "roster";
  readonly ips: readonly string[];
  readonly withNames: boolean;
  /** Whether it carries the lead order. VMs of earlier versions expect it in every roster. */
  readonly withOrder: boolean;
  /** See {@link Roster.isPartial}. */
  readonly isPartial: boolean;
}

/** What a lead knows of the others. */
export interface OtherLeads {
  /** The rosters of leads that are heard. */
  readonly rosters: readonly HeardRoster[];
  /** Whether another VM is the first lead, is heard, and sends complete rosters. */
  readonly hasFirst: boolean;
}

/** Whom a lead sends rosters. */
export interface RosterAudience extends OtherLeads {
  readonly reporters: readonly Report[];
  /** Number of VMs in the region. */
  readonly vmCount: number;
  /** Whether rosters carry {@link VmState.configAgeMs}, which grows until the next one. */
  readonly tellsConfigAge: boolean;
}

function hasSameCopies(
  roster: Roster,
  { operators, upstreams }: ReplicaStates,
) {
  const { copies } = roster;
  return copies.operators.digest === operators.digest &&
    copies.upstreams.digest === upstreams.digest;
}

/** Returns the time between a lead's rosters: longer if all receivers hear the first lead. */
export function pickRosterEveryMs(
  { reporters, vmCount, hasFirst, tellsConfigAge }: RosterAudience,
): number {
  const isRare = hasFirst && !tellsConfigAge &&
    reporters.every(({ rosterNeed }) => rosterNeed === "partial");
  return isRare ? PARTIAL_ROSTER_EVERY_MS : rosterEveryMs(vmCount);
}

/** Schedules the rosters of a lead. Times are of a monotonic clock. */
export class RosterSchedule {
  #dueMs = -Infinity;
  #sentMs = -Infinity;
  #namedDueMs = -Infinity;
  #changedUntilMs = -Infinity;
  #repeatedUntilMs = -Infinity;
  #announcedList = "";
  #announcedNews = "";

  /** When the next roster is due, as far as is known now. */
  get dueMs(): number {
    return Math.max(this.#dueMs, this.#sentMs + MIN_ROSTER_GAP_MS);
  }

  /** Makes the next roster due ahead of schedule. */
  sendSoon(): void {
    this.#dueMs = -Infinity;
  }

  /** Makes a roster due at once, and the next ones soon, since what they tell has changed. */
  noteChange(nowMs: number): void {
    this.sendSoon();
    this.#changedUntilMs = nowMs + AFTER_CHANGE_MS;
  }

  /**
   * Makes a roster due at once if what it tells of the region's VMs, or of the store's entries, has changed. News of
   * entries are repeated by the first lead only, and not sent at all if two other leads have told them; a lead may be the
   * only one that knows of upstreams that leave.
   */
  noteAnnounced(
    { copies, isServed, ready, configVersion, leavingUpstreams }: VmState,
    known: readonly unknown[],
    { rosters, hasFirst }: OtherLeads,
    nowMs: number,
  ): void {
    const list = [configVersion, isServed, ready, ...known].join();
    const news = [
      copies.operators.digest,
      copies.upstreams.digest,
      ...leavingUpstreams ?? [],
    ].join();
    const isNews = news !== this.#announcedNews;
    this.#announcedNews = news;
    if (list !== this.#announcedList) {
      this.#announcedList = list;
      this.noteChange(nowMs);
    } else if (isNews) {
      const isAnnouncedByOthers = hasFirst && !leavingUpstreams &&
        rosters.filter(({ roster }) => hasSameCopies(roster, copies)).length >=
          ENOUGH_ANNOUNCERS;
      if (isAnnouncedByOthers) return;
      this.sendSoon();
      const isRepeated = !hasFirst || leavingUpstreams !== undefined;
      if (isRepeated) this.#repeatedUntilMs = nowMs + AFTER_CHANGE_MS;
    }
  }

  /** Takes the rosters that are due now: for VMs that need complete ones, and for the others. */
  take(audience: RosterAudience, nowMs: number): RosterDue[] {
    if (nowMs < this.dueMs) return [];
    const isChanged = nowMs < this.#changedUntilMs;
    const withNames = isChanged || nowMs >= this.#namedDueMs;
    if (withNames) this.#namedDueMs = nowMs + NAMED_EVERY_MS;
    const isRepeated = isChanged || nowMs < this.#repeatedUntilMs;
    const mostMs = isRepeated ? CHANGED_ROSTER_EVERY_MS : Infinity;
    this.#dueMs = nowMs + Math.min(mostMs, pickRosterEveryMs(audience));
    this.#sentMs = nowMs;
    return divide(audience, withNames);
  }
}

function divide(
  { reporters, hasFirst }: RosterAudience,
  withNames: boolean,
): RosterDue[] {
  const complete: string[] = [];
  const partial: string[] = [];
  let hasOldVersions = false;
  for (const { ip, rosterNeed } of reporters) {
    if (rosterNeed === undefined) hasOldVersions = true;
    (hasFirst && rosterNeed === "partial" ? partial : complete).push(ip);
  }
  const type = "roster";
  const withOrder = withNames || hasOldVersions;
  return [
    { type, ips: complete, withNames, withOrder, isPartial: false },
    { type, ips: partial, withNames, withOrder: withNames, isPartial: true },
  ];
}
