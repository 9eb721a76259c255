/**
 * The VMs that may hold the origins of streams, as this VM knows them.
 *
 * @module
 */

import type { OriginPeers } from "../region/mod.ts";
import type { Members } from "./members.ts";

/** Where {@link listOriginPeers} looks. */
export interface OriginPeerSource {
  readonly self: { readonly ip: string; readonly region: string };
  readonly members: Pick<
    Members,
    "order" | "vmCount" | "vmsForCallers" | "otherRegions"
  >;
}

/** Lists the VMs that are told of origins, and asked for them. */
export function listOriginPeers(
  { members, self }: OriginPeerSource,
): OriginPeers {
  return {
    self: self.ip,
    vmCount: members.vmCount(),
    own: {
      // Standbys too: with few holders, the loss of many VMs at once takes all copies or none.
      leads: members.order.map(({ ip }) => ip).filter((ip) => ip !== self.ip),
      others: members.vmsForCallers(self.region).map(({ ip }) => ip),
    },
    elsewhere: members.otherRegions().map(({ digest }) => ({
      region: digest.from.region,
      leads: digest.leads.map(({ ip }) => ip),
      others: digest.ready,
    })),
  };
}
