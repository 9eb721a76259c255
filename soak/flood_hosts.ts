/**
 * The upstreams of a run that flood, and their entries in the store.
 *
 * @module
 */

import type { KvServer } from "../src/standins/mod.ts";
import type { AddressBlock } from "./address_block.ts";
import type { FloodOrder, FloodReport } from "./flood_messages.ts";
import { FloodProcess } from "./flood_process.ts";
import { FLOOD_SERVICE } from "./floods.ts";
import { HEARTBEAT_MS, Registration } from "./registration.ts";
import { getFailureDomain, REGIONS } from "./vm_settings.ts";

/** Places of the hosts in the run's block of addresses, behind those of the other upstreams. */
const FIRST_PLACE = 200;
const PORT = 18_106;
/** More than callers of floods open at once, so that none of them is refused for it. */
const SLOTS = 200;

/** One upstream in each region, and the callers that flood with them. */
export class FloodHosts {
  readonly registrations: readonly Registration[];
  readonly #process: FloodProcess;

  private constructor(
    process: FloodProcess,
    registrations: readonly Registration[],
  ) {
    this.#process = process;
    this.registrations = registrations;
  }

  /** Starts the upstreams and registers them. */
  static async open(
    store: KvServer,
    block: AddressBlock,
  ): Promise<FloodHosts> {
    const places = REGIONS.map((region, index) => ({
      id: `i-flood-${region}`,
      host: block.runnerIp(FIRST_PLACE + index),
      port: PORT,
    }));
    const process = await FloodProcess.open(places);
    const registrations = places.map(({ id, host, port }, index) => {
      const registration = new Registration(
        store,
        index / REGIONS.length * HEARTBEAT_MS,
      );
      registration.write(id, {
        service: FLOOD_SERVICE,
        version: "v1",
        address: `${host}:${port}`,
        zone: getFailureDomain(REGIONS[index]),
        slots: SLOTS,
        state: "ready",
        cold_left_ms: 0,
        seq: 1,
        born: 1,
      });
      return registration;
    });
    return new FloodHosts(process, registrations);
  }

  /** What the floods that are over did. */
  get reports(): readonly FloodReport[] {
    return this.#process.reports;
  }

  /** Plays a flood; returns when it is over. */
  play(order: FloodOrder): Promise<void> {
    return this.#process.play(order);
  }

  async close(): Promise<void> {
    for (const registration of this.registrations) registration.close();
    await this.#process.close();
  }
}
