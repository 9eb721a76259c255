/**
 * The table service's view of the other VMs, taken from the membership service.
 *
 * @module
 */

import { watchersOf } from "../agreement/mod.ts";
import type { Kernel, TaskPort } from "../kernel/mod.ts";
import type { MembersMessages, VmInfo } from "./messages.ts";

/** Looks up VMs and the table versions they have in force. Finds none in a daemon without a membership service. */
export class TableFleet {
  readonly #kernel: Kernel;
  readonly #vm: { readonly id: string; readonly region: string };

  constructor(
    kernel: Kernel,
    vm: { readonly id: string; readonly region: string },
  ) {
    this.#kernel = kernel;
    this.#vm = vm;
  }

  /** The VMs of this region, including this one. */
  async regionVms(): Promise<readonly VmInfo[]> {
    return await this.#members?.ask("region", undefined) ?? [];
  }

  /** Some VMs of each remote region. */
  async remoteVms(): Promise<ReadonlyMap<string, readonly VmInfo[]>> {
    return await this.#members?.ask("others", undefined) ?? new Map();
  }

  /** All known VMs other than this one. */
  async peers(): Promise<VmInfo[]> {
    const [region, others] = [await this.regionVms(), await this.remoteVms()];
    return [...region, ...[...others.values()].flat()]
      .filter((vm) => vm.id !== this.#vm.id);
  }

  /** The newest version that is known to be in force on another VM. */
  async knownVersion(): Promise<number> {
    const peers = await this.peers();
    return Math.max(0, ...peers.map((vm) => vm.tableVersion));
  }

  /** The ids of the VMs that watch the store for this region. */
  async watcherIds(): Promise<string[]> {
    const vms = await this.regionVms();
    const ids = vms.filter((vm) => vm.state === "live").map((vm) => vm.id);
    return watchersOf(this.#vm.region, ids);
  }

  /** Whether this VM watches the store. A VM without known peers watches, since none would push edits to it. */
  async isWatcher(): Promise<boolean> {
    const watchers = await this.watcherIds();
    return watchers.length === 0 || watchers.includes(this.#vm.id);
  }

  /** The VMs of this region that are known to have a version newer than `version` in force. */
  async regionVmsAhead(version: number): Promise<VmInfo[]> {
    return (await this.regionVms()).filter((vm) => vm.tableVersion > version);
  }

  /** The VMs of remote regions that are known to be ahead of `version`, or all known remote VMs if none is. */
  async remoteVmsToAsk(version: number): Promise<VmInfo[]> {
    const remote = [...(await this.remoteVms()).values()].flat();
    const ahead = remote.filter((vm) => vm.tableVersion > version);
    return ahead.length > 0 ? ahead : remote;
  }

  get #members(): TaskPort<MembersMessages> | undefined {
    return this.#kernel.has("members")
      ? this.#kernel.get<MembersMessages>("members")
      : undefined;
  }
}
