/**
 * Which VMs are told of a stream's origin, and which are asked for it.
 *
 * @module
 */

import { rendezvous } from "../base/mod.ts";

/** In a fleet of up to this many VMs all are asked at once. */
const SMALL_FLEET_VMS = 16;
/** VMs told of an origin, besides the one with the caller. In a large fleet many VMs may be lost at once. */
const SMALL_FLEET_COPIES = 2;
const LARGE_FLEET_COPIES = 3;

/** The VMs of a region that may hold origins, by their addresses. */
export interface RegionPeers {
  /** They are told, since all VMs of all regions know them. */
  readonly leads: readonly string[];
  /** Other VMs know what began at them. Some only, in a large region. */
  readonly others: readonly string[];
}

/** The VMs that may hold origins, without this one. */
export interface OriginPeers {
  /** Address of this VM. */
  readonly self: string;
  /** Number of VMs of all regions. */
  readonly vmCount: number;
  readonly own: RegionPeers;
  readonly elsewhere: readonly (RegionPeers & { readonly region: string })[];
}

/** The VMs that are asked together. */
export interface AskedVms {
  readonly own: readonly string[];
  readonly elsewhere: readonly string[];
}

function allOf({ leads, others }: RegionPeers): string[] {
  return [...new Set([...leads, ...others])];
}

function isSmall({ vmCount }: OriginPeers): boolean {
  return vmCount <= SMALL_FLEET_VMS;
}

function rank(self: string, ips: readonly string[]): string[] {
  return rendezvous(self, ips, (ip) => ip);
}

/**
 * The VMs that are told of the origins of all streams that begin at this VM: leads of its own region and of others in turn,
 * so that no loss of one kind ends all. Always the same ones make for few datagrams.
 */
export function vmsToTell(peers: OriginPeers): string[] {
  const { self } = peers;
  const own = rank(self, peers.own.leads);
  const elsewhere = rendezvous(self, peers.elsewhere, ({ region }) => region)
    .flatMap(({ leads }) => rank(self, leads).slice(0, 1));
  const inTurn: string[] = [];
  for (let at = 0; at < own.length + elsewhere.length; at++) {
    inTurn.push(...own.slice(at, at + 1), ...elsewhere.slice(at, at + 1));
  }
  return inTurn.slice(
    0,
    isSmall(peers) ? SMALL_FLEET_COPIES : LARGE_FLEET_COPIES,
  );
}

/**
 * The VMs that are asked for an origin, those of each stage only if none of the stage before knows it. In a large fleet
 * those of other regions are asked last: when many VMs end at once, thousands of streams are asked for.
 */
export function vmsToAsk(peers: OriginPeers): AskedVms[] {
  if (isSmall(peers)) {
    const elsewhere = peers.elsewhere.flatMap(allOf);
    return [{ own: allOf(peers.own), elsewhere }];
  }
  const elsewhere = peers.elsewhere.flatMap(({ leads }) => leads);
  return [{ own: peers.own.leads, elsewhere: [] }, { own: [], elsewhere }];
}
