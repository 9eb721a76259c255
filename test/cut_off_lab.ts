/**
 * Cuts VMs of a lab off from each other and from the store.
 *
 * @module
 */

import { Socket } from "node:dgram";
import type { ExecutionContext } from "ava";
import type { GatewayLab, LabVm } from "./gateway_lab.ts";

type Send = (this: Socket, ...args: unknown[]) => void;

/** What a VM is cut off from. */
export type CutFrom =
  | "other VMs"
  | "other VMs, beside a slow store"
  | "other VMs and the store";

/** Longer than a stream waits for the store. */
const SLOW_STORE_MS = 1_500;

/** Addresses of VMs whose datagrams are dropped, both ways. */
const cutIps = new Set<string>();
const prototype = Socket.prototype as unknown as { send: Send };
const { send } = prototype;

prototype.send = function (...args) {
  const [, , toIp] = args;
  if (cutIps.has(this.address().address) || cutIps.has(String(toIp))) return;
  send.apply(this, args);
};

/** Cuts a VM off until the test is over, or until the returned function is called. Its callers still reach it. */
export function cutOff(
  t: ExecutionContext,
  lab: GatewayLab,
  { settings: { vm: { id, ip } } }: LabVm,
  from: CutFrom,
): () => void {
  cutIps.add(ip);
  if (from === "other VMs and the store") {
    lab.store.faults.set([{ vm: `^${id}$`, outage: "cut" }]);
  } else if (from === "other VMs, beside a slow store") {
    lab.store.faults.set([{ vm: `^${id}$`, slowMs: SLOW_STORE_MS }]);
  }
  const restore = () => {
    cutIps.delete(ip);
    lab.store.faults.clear();
  };
  t.teardown(restore);
  return restore;
}
