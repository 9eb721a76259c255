import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import type { ExecutionContext } from "ava";
import { describe, it } from "../base/describe.ts";
import { CallerConnections } from "./caller_connections.ts";

/** More than the system takes of an answer that nobody reads. */
const LARGE_BYTES = 64_000_000;
const REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

interface Lab {
  readonly connections: CallerConnections;
  readonly server: Server;
  open(): Promise<Socket>;
}

/** Opens a listener that answers each request by `answer`. */
async function openLab(
  t: ExecutionContext,
  answer: (response: ServerResponse) => void,
): Promise<Lab> {
  const server = createServer((_, response) => answer(response));
  const connections = new CallerConnections(server);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  const open = async () => {
    const socket = connect(port, "127.0.0.1");
    t.teardown(() => void socket.destroy());
    await once(socket, "connect");
    return socket;
  };
  return { connections, server, open };
}

/** Reads until the connection ends; returns the number of bytes. */
async function countBytes(socket: Socket): Promise<number> {
  let bytes = 0;
  for await (const chunk of socket) bytes += (chunk as Buffer).length;
  return bytes;
}

describe("connections of callers, when idle ones are closed", () => {
  // Guards against an answer whose last bytes are lost as its caller reads slowly.
  it("keep one whose answer was ended and is not written out", async (t) => {
    const { connections, server, open } = await openLab(t, (response) => {
      response.end(Buffer.alloc(LARGE_BYTES));
    });
    const socket = await open();
    socket.pause();
    socket.write(REQUEST);
    await once(server, "request");
    connections.closeIdle();
    t.is(connections.openAnswers, 1);
    socket.end();
    t.true(await countBytes(socket) > LARGE_BYTES);
    t.is(connections.openAnswers, 0);
  });

  it("lose one whose answer was written out", async (t) => {
    const { connections, open } = await openLab(t, (response) => {
      response.end("done");
    });
    const socket = await open();
    socket.write(REQUEST);
    await once(socket, "data");
    t.is(connections.openAnswers, 0);
    connections.closeIdle();
    await once(socket, "close");
    t.pass();
  });

  it("keep one on which a request has begun to arrive", async (t) => {
    const { connections, server, open } = await openLab(t, (response) => {
      response.end("done");
    });
    const socket = await open();
    socket.write(REQUEST);
    await once(socket, "data");
    const [head, rest] = [REQUEST.slice(0, 9), REQUEST.slice(9)];
    socket.write(head);
    await new Promise((resolve) => setTimeout(resolve, 50));
    connections.closeIdle();
    socket.write(rest);
    await once(server, "request");
    await once(socket, "data");
    t.pass();
  });

  it("keep one that is new, as its first request may be on its way", async (t) => {
    const { connections, server, open } = await openLab(t, (response) => {
      response.end("done");
    });
    const socket = await open();
    await new Promise((resolve) => setTimeout(resolve, 20));
    connections.closeIdle();
    socket.write(REQUEST);
    await once(server, "request");
    t.pass();
  });
});
