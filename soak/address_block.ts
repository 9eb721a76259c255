/**
 * A block of loopback addresses for one run, so that soaks beside each other do not take each other's.
 *
 * @module
 */

import { once } from "node:events";
import { createServer, type Server } from "node:net";

const BLOCK_COUNT = 100;
/** Where a block is held; VMs have lower numbers. */
const LOCK_HOST = 254;
const LOCK_PORT = 18_099;

/** See the module. Whoever holds a block has its addresses until it closes it or ends. */
export class AddressBlock {
  readonly #index: number;
  readonly #lock: Server;

  private constructor(index: number, lock: Server) {
    this.#index = index;
    this.#lock = lock;
  }

  /** Takes the first block that nobody on this machine holds. */
  static async open(): Promise<AddressBlock> {
    for (let index = 0; index < BLOCK_COUNT; index++) {
      const lock = createServer();
      lock.listen(LOCK_PORT, `127.77.${index}.${LOCK_HOST}`);
      try {
        await once(lock, "listening");
        return new AddressBlock(index, lock);
      } catch (error) {
        if ((error as NodeJS.ErrnoException).code !== "EADDRINUSE") throw error;
      }
    }
    throw new Error(`${BLOCK_COUNT} soaks hold all blocks of addresses`);
  }

  /** Where others reach a VM: its proxies listen there. */
  proxyIp(vmIndex: number): string {
    return `127.77.${this.#index}.${vmIndex + 1}`;
  }

  /** Where the VM itself listens. */
  vmIp(vmIndex: number): string {
    return `127.78.${this.#index}.${vmIndex + 1}`;
  }

  async close(): Promise<void> {
    await new Promise((resolve) => this.#lock.close(resolve));
  }
}
