/**
 * Servers for tests of clients: one that answers over a slow link.
 *
 * @module
 */

import type { Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { ExecutionContext } from "ava";

const HOST = "127.0.0.1";
/** An answer over a slow link comes in so many parts, with a pause after each. */
const PARTS = 25;
const PAUSE_MS = 100;

/** How long {@link sendSlowly} takes for a long text, in ms. */
export const SLOW_ANSWER_MS = PARTS * PAUSE_MS;

/** Answers with a text as over a slow link: something comes all the while. */
export async function sendSlowly(
  response: ServerResponse,
  text: string,
): Promise<void> {
  const partLength = Math.ceil(text.length / PARTS);
  for (let sent = 0; sent < text.length; sent += partLength) {
    response.write(text.slice(sent, sent + partLength));
    await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
  }
  response.end();
}

/** Opens a server until the end of the test. Gives its address as `IP:PORT`. */
export async function listenOn(
  t: ExecutionContext,
  server: Server,
): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return `${HOST}:${(server.address() as AddressInfo).port}`;
}
