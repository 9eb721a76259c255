/**
 * A block of loopback addresses for one run, so that concurrent soaks do not use the same addresses.
 *
 * @module
 */

import { once } from "node:events";
import { createServer, type Server } from "node:net";

const BLOCK_COUNT = 100;
/** Last byte of the address whose listener locks a block; VMs have lower numbers. */
const LOCK_HOST = 254;
const LOCK_PORT = 18_099;

/** An exclusive block of loopback addresses. It is locked until it is closed or the process exits. */
export class AddressBlock {
  readonly #index: number;
  readonly #lock: Server;

  private constructor(index: number, lock: Server) {
    this.#index = index;
    this.#lock = lock;
  }

  /** Locks the first free block on this machine. */
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
    throw new Error(`other soaks use all ${BLOCK_COUNT} address blocks`);
  }

  /** Address at which others reach a VM; its proxies listen there. */
  proxyIp(vmIndex: number): string {
    return `127.77.${this.#index}.${vmIndex + 1}`;
  }

  /** Address on which the VM itself listens. */
  vmIp(vmIndex: number): string {
    return `127.78.${this.#index}.${vmIndex + 1}`;
  }

  /** Address of an upstream. The system picks no port there, so what is down can return to its port. */
  runnerIp(runnerIndex: number): string {
    return `127.79.${this.#index}.${runnerIndex + 1}`;
  }

  async close(): Promise<void> {
    await new Promise((resolve) => this.#lock.close(resolve));
  }
}
