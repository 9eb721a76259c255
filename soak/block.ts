/**
 * A block of loopback addresses for one run, so that soaks beside each other do not take each other's.
 *
 * @module
 */

import { once } from "node:events";
import { createServer, type Server } from "node:net";

const BLOCKS = 100;
/** Where a block is held; VMs have lower numbers. */
const HOLD_HOST = 254;
const HOLD_PORT = 18_099;

/** See the module. Whoever holds a block has its addresses until it closes it or ends. */
export class Block {
  readonly #index: number;
  readonly #hold: Server;

  private constructor(index: number, hold: Server) {
    this.#index = index;
    this.#hold = hold;
  }

  /** Takes the first block that nobody on this machine holds. */
  static async open(): Promise<Block> {
    for (let index = 0; index < BLOCKS; index++) {
      const hold = createServer();
      hold.listen(HOLD_PORT, `127.77.${index}.${HOLD_HOST}`);
      try {
        await once(hold, "listening");
        return new Block(index, hold);
      } catch (error) {
        if ((error as NodeJS.ErrnoException).code !== "EADDRINUSE") throw error;
      }
    }
    throw new Error(`${BLOCKS} soaks hold all blocks of addresses`);
  }

  /** Where others reach a VM: its proxies listen there. */
  ip(vm: number): string {
    return `127.77.${this.#index}.${vm + 1}`;
  }

  /** Where the VM itself listens. */
  ownIp(vm: number): string {
    return `127.78.${this.#index}.${vm + 1}`;
  }

  async close(): Promise<void> {
    await new Promise((resolve) => this.#hold.close(resolve));
  }
}
