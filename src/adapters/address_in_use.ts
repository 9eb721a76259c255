/**
 * Opens sockets at addresses that another process may still be giving up.
 *
 * @module
 */

import type { Socket as DatagramSocket } from "node:dgram";
import { once } from "node:events";
import type { ListenOptions, Server } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/**
 * How long an address may stay in use: the process that had it was killed just now, or a child of it that is about to run
 * another program still has its descriptors. Whoever needs longer is another program.
 */
const MAX_IN_USE_MS = 2_000;
const RETRY_MS = 20;

/** Opens a socket by `open`, again while its address is in use. Fails as `open` does, at the latest after 2 s. */
async function openWhenFree(open: () => Promise<void>): Promise<void> {
  const deadlineMs = performance.now() + MAX_IN_USE_MS;
  for (;;) {
    try {
      return await open();
    } catch (error) {
      const isInUse = (error as NodeJS.ErrnoException).code === "EADDRINUSE";
      if (!isInUse || performance.now() >= deadlineMs) throw error;
      await sleep(RETRY_MS);
    }
  }
}

/** Listens at an address; fails if it is still in use after 2 s. */
export function listenAt(
  server: Server,
  options: ListenOptions,
): Promise<void> {
  return openWhenFree(async () => {
    server.listen(options);
    await once(server, "listening");
  });
}

/** Binds a datagram socket to an address; fails if it is still in use after 2 s. */
export function bindAt(
  socket: DatagramSocket,
  port: number,
  ip: string,
): Promise<void> {
  return openWhenFree(async () => {
    socket.bind(port, ip);
    await once(socket, "listening");
  });
}
