/**
 * The messages of membership between VMs.
 *
 * @module
 */

import type {
  ContactNews,
  Gossip,
  MemberRecord,
  RegionNews,
} from "../agreement/mod.ts";

/** `members.ping`, answered with the other's {@link Gossip}; `members.tell` carries the same without an answer. */
export type PingMessage = Gossip;

/** `members.pingVia`: ping this VM for the sender, whose own ping had no answer. */
export interface PingViaMessage {
  readonly vmId: string;
  readonly peerAddress: string;
}

/** What came of it. */
export interface PingViaReply {
  readonly answered: boolean;
}

/** `members.sync`: all the sender knows of its region, answered with the same. */
export interface SyncMessage {
  readonly region: string;
  readonly records: readonly MemberRecord[];
}

/** Across regions the records say nothing to the other; each answers with its region's news instead. */
export interface SyncReply extends SyncMessage {
  readonly digest: RegionMessage;
  /** How to reach the regions that it knows of: a region needs to be told of one other only. */
  readonly regions: readonly ContactNews[];
}

/** `members.region`: one region tells another its news; answered so that the sender knows that the way is open. */
export interface RegionMessage {
  readonly news: RegionNews;
  /** Only where they changed or were not told for a while. */
  readonly contacts?: ContactNews;
}
