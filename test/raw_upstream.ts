/**
 * An upstream that answers with given bytes and ends its connection in a given way.
 *
 * @module
 */

import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { ExecutionContext } from "ava";

/** How an upstream ends a connection after the last byte: in order, or by a reset after a delay. */
export type ConnectionEnd =
  | { readonly type: "close" }
  | { readonly type: "reset"; readonly afterMs: number }
  | { readonly type: "keepOpen" };

/** What an upstream answers. */
export interface RawAnswer {
  /** Status line and headers without the empty line, for example `HTTP/1.1 200 OK`. */
  readonly head: string;
  /** What is sent in place of the head, as it is. */
  readonly bytes?: string;
  /** Parts of the body; each is written on its own, so that a reader may get it on its own. */
  readonly parts: readonly (string | Buffer)[];
  readonly end: ConnectionEnd;
  /** How long the process is blocked once the answer is sent, as on a machine without a free core. */
  readonly blockMs?: number;
}

/** An open upstream. */
export interface RawUpstream {
  readonly url: string;
  /** Number of requests that arrived. */
  requests(): number;
}

/** Pause between two parts of a body, so that they arrive apart. */
const PART_GAP_MS = 5;

/** Returns headers of an answer that has neither a length nor chunks. */
export function unframed(contentType: string, status = "200 OK"): string {
  return `HTTP/1.1 ${status}\r\ncontent-type: ${contentType}`;
}

/** Opens an upstream on loopback; `answer` gets the id of the attempt and the text of the request. */
export async function openRawUpstream(
  t: ExecutionContext,
  answer: (attemptId: string, request: string) => RawAnswer,
): Promise<RawUpstream> {
  const sockets = new Set<Socket>();
  let requests = 0;
  const server = createServer({ noDelay: true }, (socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    void readRequest(socket).then(async (request) => {
      requests++;
      const attemptId = /^x-request-id: (.*)\r$/mi.exec(request)?.[1] ?? "";
      await send(socket, answer(attemptId, request));
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return { url: `http://127.0.0.1:${port}`, requests: () => requests };
}

/** Reads a request until its body is as long as its head says. */
function readRequest(socket: Socket): Promise<string> {
  return new Promise((resolve) => {
    let text = "";
    socket.on("data", (chunk) => {
      text += chunk.toString("latin1");
      const headEnd = text.indexOf("\r\n\r\n");
      if (headEnd < 0) return;
      const length = /^content-length: (\d+)/mi.exec(text)?.[1] ?? "0";
      if (text.length >= headEnd + 4 + Number(length)) resolve(text);
    });
  });
}

async function send(socket: Socket, answer: RawAnswer): Promise<void> {
  socket.write(
    answer.bytes ?? `${answer.head}\r\n\r\n${answer.parts[0] ?? ""}`,
  );
  for (const part of answer.parts.slice(1)) {
    await sleep(PART_GAP_MS);
    socket.write(part);
  }
  if (socket.writableLength > 0) await once(socket, "drain");
  endConnection(socket, answer.end);
  if (answer.blockMs) block(answer.blockMs);
}

function endConnection(socket: Socket, end: ConnectionEnd): void {
  if (end.type === "close") socket.end();
  if (end.type !== "reset") return;
  if (end.afterMs === 0) socket.resetAndDestroy();
  else setTimeout(() => socket.resetAndDestroy(), end.afterMs);
}

function block(blockMs: number): void {
  const untilMs = Date.now() + blockMs;
  while (Date.now() < untilMs);
}
