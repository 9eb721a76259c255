/**
 * Which VMs have which version of the table in force, region by region.
 *
 * @module
 */

import { z } from "zod";
import type { Transport } from "../adapters/mod.ts";
import type { VmInfo } from "./messages.ts";
import type { TableFleet } from "./table_fleet.ts";

/** A VM with the newest version it is known to have in force; 0 for none. */
export interface VmInForce {
  readonly id: string;
  readonly state: "live" | "leaving";
  readonly version: number;
}

/** A region with its VMs. */
export interface RegionInForce {
  readonly region: string;
  readonly vms: readonly VmInForce[];
  /** `whole`: a VM of the region named all of its VMs. `part`: none answered; only some are known, from a while ago. */
  readonly view: "whole" | "part";
}

const answerSchema = z.array(z.object({
  id: z.string(),
  state: z.enum(["live", "leaving"]),
  version: z.number().int(),
}));

const ASK_TIMEOUT_MS = 1000;

/** What a {@link TableInForce} works with. */
export interface TableInForceOptions {
  readonly vm: { readonly id: string; readonly region: string };
  readonly fleet: TableFleet;
  readonly transport: Transport | undefined;
  readonly nowMs: () => number;
  /** The version in force on this VM. */
  readonly version: () => number;
}

/** Gathers versions: this region's from membership, another's from one of its VMs. */
export class TableInForce {
  readonly #options: TableInForceOptions;

  constructor(options: TableInForceOptions) {
    this.#options = options;
    options.transport?.handle("table.region", () => this.#region());
  }

  /** All regions that this VM knows of, its own first. */
  async regions(): Promise<RegionInForce[]> {
    const { vm, fleet } = this.#options;
    const own: RegionInForce = {
      region: vm.region,
      vms: await this.#region(),
      view: "whole",
    };
    const others = [...await fleet.others()].map(([region, vms]) =>
      this.#ask(region, vms)
    );
    return [own, ...await Promise.all(others)];
  }

  async #region(): Promise<VmInForce[]> {
    const { vm, fleet, version } = this.#options;
    const vms = await fleet.region();
    const own = { id: vm.id, state: "live" as const, version: version() };
    if (vms.length === 0) return [own];
    return vms.map((it) =>
      it.id === vm.id ? { ...own, state: it.state } : inForce(it)
    );
  }

  async #ask(
    region: string,
    known: readonly VmInfo[],
  ): Promise<RegionInForce> {
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
    return { region, vms: known.map(inForce), view: "part" };
  }
}

function inForce(vm: VmInfo): VmInForce {
  return { id: vm.id, state: vm.state, version: vm.tableVersion };
}
