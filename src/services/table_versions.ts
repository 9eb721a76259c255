/**
 * Collects which VMs have which version of the table in force, by region.
 *
 * @module
 */

import { z } from "zod";
import type { Transport } from "../adapters/mod.ts";
import type { VmInfo } from "./messages.ts";
import type { TableFleet } from "./table_fleet.ts";

/** A VM and the newest version that it is known to have in force, or 0 for none. */
export interface VmTableVersion {
  readonly id: string;
  readonly state: "live" | "leaving";
  readonly version: number;
}

/** The versions in force in a region. */
export interface RegionTableVersions {
  readonly region: string;
  readonly vms: readonly VmTableVersion[];
  /** `whole`: a VM of the region listed all its VMs. `part`: no VM answered; only some VMs are known, maybe stale. */
  readonly view: "whole" | "part";
}

const answerSchema = z.array(z.object({
  id: z.string(),
  state: z.enum(["live", "leaving"]),
  version: z.number().int(),
}));

const ASK_TIMEOUT_MS = 1000;

/** Options of {@link TableVersions}. */
export interface TableVersionsOptions {
  readonly vm: { readonly id: string; readonly region: string };
  readonly fleet: TableFleet;
  readonly transport: Transport | undefined;
  readonly nowMs: () => number;
  /** The version in force on this VM. */
  readonly version: () => number;
}

/** Collects this region's versions from the membership service, and those of a remote region from one of its VMs. */
export class TableVersions {
  readonly #options: TableVersionsOptions;

  constructor(options: TableVersionsOptions) {
    this.#options = options;
    options.transport?.handle("table.region", () => this.#ownRegion());
  }

  /** Returns the versions of all known regions, this VM's own first. */
  async collect(): Promise<RegionTableVersions[]> {
    const { vm, fleet } = this.#options;
    const own: RegionTableVersions = {
      region: vm.region,
      vms: await this.#ownRegion(),
      view: "whole",
    };
    const others = [...await fleet.remoteVms()].map(([region, vms]) =>
      this.#askRegion(region, vms)
    );
    return [own, ...await Promise.all(others)];
  }

  async #ownRegion(): Promise<VmTableVersion[]> {
    const { vm, fleet, version } = this.#options;
    const vms = await fleet.regionVms();
    const own = { id: vm.id, state: "live" as const, version: version() };
    if (vms.length === 0) return [own];
    return vms.map((it) =>
      it.id === vm.id ? { ...own, state: it.state } : vmVersionOf(it)
    );
  }

  async #askRegion(
    region: string,
    known: readonly VmInfo[],
  ): Promise<RegionTableVersions> {
    const { transport, nowMs } = this.#options;
    for (const vm of known) {
      const answer = await transport?.call(
        vm.peerAddress,
        "table.region",
        {},
        nowMs() + ASK_TIMEOUT_MS,
      );
      const parsed = answerSchema.safeParse(answer?.unwrapOr(undefined));
      if (parsed.success) return { region, vms: parsed.data, view: "whole" };
    }
    return { region, vms: known.map(vmVersionOf), view: "part" };
  }
}

function vmVersionOf(vm: VmInfo): VmTableVersion {
  return { id: vm.id, state: vm.state, version: vm.tableVersion };
}
