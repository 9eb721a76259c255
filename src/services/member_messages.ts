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

/** `members.ping`: the reply is the receiver's {@link Gossip}. `members.tell` carries the same and has no reply. */
export type PingMessage = Gossip;

/** `members.pingVia`: asks the receiver to ping a VM that did not answer the sender's ping. */
export interface PingViaMessage {
  readonly vmId: string;
  readonly peerAddress: string;
}

/** The reply to `members.pingVia`: whether the VM answered the ping. */
export interface PingViaReply {
  readonly answered: boolean;
}

/** `members.sync`: all records that the sender has of its region. The reply is a {@link SyncReply}. */
export interface SyncMessage {
  readonly region: string;
  readonly records: readonly MemberRecord[];
}

/**
 * The reply to `members.sync`. Between regions the records are of no use to the sender, so `records` is empty and only
 * the digest of the receiver's region matters.
 */
export interface SyncReply extends SyncMessage {
  readonly digest: RegionMessage;
  /** The contacts of all regions that the receiver knows: a region needs an address in one other region only. */
  readonly regions: readonly ContactNews[];
}

/** `members.region`: the digest of one region for another. The reply shows the sender that the link works. */
export interface RegionMessage {
  readonly news: RegionNews;
  /** Present only if they changed or were not sent for a while. */
  readonly contacts?: ContactNews;
}
