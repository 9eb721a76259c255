/**
 * Writes a flood to a connection, no faster than it is taken, so that the writer itself holds little.
 *
 * @module
 */

import type { Socket } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";

/** Writes of one connection before others get their turn. */
const WRITES_A_TURN = 32;

/** Writes what `next` returns again and again until the connection is closed or `isOver` says so. */
export async function writeWithoutEnd(
  socket: Socket,
  next: () => string | Buffer,
  isOver: () => boolean = () => false,
): Promise<void> {
  while (socket.writable && !isOver()) {
    let isTaken = true;
    for (let count = 0; count < WRITES_A_TURN && isTaken; count++) {
      isTaken = socket.writable && socket.write(next());
    }
    if (isTaken || !socket.writable) await nextTurn();
    else await waitUntilWritable(socket);
  }
}

/** Waits until a connection takes more, or takes nothing any more. */
function waitUntilWritable(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    const finish = () => {
      socket.off("drain", finish).off("close", finish);
      resolve();
    };
    socket.on("drain", finish).on("close", finish);
  });
}
