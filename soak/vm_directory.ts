/**
 * What a caller knows of the VMs of its region: it queries the directory of any VM, at most once a second.
 *
 * @module
 */

import type { Random } from "../src/base/mod.ts";
import type { SoakVm, World } from "./world.ts";

const DIRECTORY_TTL_MS = 1_000;
const DIRECTORY_TIMEOUT_MS = 500;

/** A caller's copy of the directory. */
export class VmDirectory {
  readonly #world: World;
  readonly #region: string;
  #vms: SoakVm[] = [];
  #refreshedMs = -Infinity;

  constructor(world: World, region: string) {
    this.#world = world;
    this.#region = region;
  }

  /** Picks a VM of the region; `undefined` if none has been listed yet. */
  async pick(random: Random): Promise<SoakVm | undefined> {
    if (this.#world.nowMs() - this.#refreshedMs > DIRECTORY_TTL_MS) {
      await this.#refresh(random);
    }
    return this.#vms.length > 0 ? random.pick(this.#vms) : undefined;
  }

  /** Queries the directory of a random VM; returns no VM if it doesn't answer. */
  async lookUp(random: Random, region: string): Promise<SoakVm[]> {
    const vm = random.pick(this.#world.vms);
    try {
      const answer = await fetch(
        this.#world.directoryUrl(vm) + region,
        { signal: AbortSignal.timeout(DIRECTORY_TIMEOUT_MS) },
      );
      const { addresses } = await answer.json() as { addresses: string[] };
      return this.#world.vms.filter(({ ip }) =>
        addresses.some((address) => address.startsWith(`${ip}:`))
      );
    } catch {
      // The queried VM is down or affected by a fault; the next try queries another VM.
      return [];
    }
  }

  /** If the directory lists no VM, the last list stays in use. */
  async #refresh(random: Random): Promise<void> {
    const listed = await this.lookUp(random, this.#region);
    if (listed.length === 0) return;
    this.#vms = listed;
    this.#refreshedMs = this.#world.nowMs();
  }
}
