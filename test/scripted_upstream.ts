/**
 * An upstream whose answers a test writes byte by byte, so that it can end them at any place and in any way.
 *
 * @module
 */

import { once } from "node:events";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { makeUpstreamEntry } from "../src/standins/mod.ts";
import type { GatewayLab, LabVm } from "./gateway_lab.ts";
import { waitUntil } from "./gateway_lab.ts";

/** A request as the upstream received it. */
export interface ScriptedRequest {
  readonly method: string;
  /** Path with the query. */
  readonly target: string;
  readonly attemptId: string;
  readonly lastEventId: string | undefined;
}

/** Writes an answer to the connection, and ends it. */
export type Script = (request: ScriptedRequest, socket: Socket) => void;

/** How a script ends its connection. */
export type ConnectionEnd = "close" | "reset";

/** How an answer's head says where its body ends. */
export type ScriptedFraming = "connection" | "chunks" | "length";

const HEAD_END = "\r\n\r\n";

/** Returns the head of an answer that this upstream has signed, with more header lines. */
export function formatHead(
  { attemptId }: ScriptedRequest,
  status = "200 OK",
  more: readonly string[] = [],
): string {
  return [
    `HTTP/1.1 ${status}`,
    `Attempt-Id: ${attemptId}`,
    "Response-Stamp: scripted",
    ...more,
  ].join("\r\n") + HEAD_END;
}

/** Ends a connection after `delayMs`. */
export function endConnection(
  socket: Socket,
  end: ConnectionEnd,
  delayMs = 0,
): void {
  setTimeout(
    () => end === "close" ? socket.end() : socket.resetAndDestroy(),
    delayMs,
  );
}

/** Makes a script that streams `body`, and ends its connection. A chunked one ends its chunks in order. */
export function streamScript(
  body: string | Buffer,
  framing: ScriptedFraming = "connection",
  end: ConnectionEnd = "close",
): Script {
  return (request, socket) => {
    const bytes = Buffer.from(body);
    const type = "Content-Type: text/event-stream";
    if (framing === "connection") {
      socket.write(formatHead(request, "200 OK", [type]));
      socket.write(bytes, () => endConnection(socket, end));
      return;
    }
    if (framing === "length") {
      const length = `Content-Length: ${bytes.length}`;
      socket.write(formatHead(request, "200 OK", [type, length]));
      socket.write(bytes);
      return;
    }
    socket.write(
      formatHead(request, "200 OK", [type, "Transfer-Encoding: chunked"]),
    );
    socket.write(`${bytes.length.toString(16)}\r\n`);
    socket.write(bytes);
    socket.write("\r\n0\r\n\r\n");
  };
}

/** An upstream that answers each request by its script. */
export class ScriptedUpstream {
  readonly id: string;
  readonly requests: ScriptedRequest[] = [];
  script: Script;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  private constructor(id: string, script: Script) {
    this.id = id;
    this.script = script;
    this.#server = createServer((socket) => this.#serve(socket));
  }

  /** Opens an upstream on a free port. */
  static async open(id: string, script: Script): Promise<ScriptedUpstream> {
    const upstream = new ScriptedUpstream(id, script);
    upstream.#server.listen(0, "127.0.0.1");
    await once(upstream.#server, "listening");
    return upstream;
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  async close(): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  #serve(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on("close", () => this.#sockets.delete(socket));
    socket.on("error", () => {});
    let received = "";
    socket.on("data", (chunk) => {
      received += chunk.toString("latin1");
      const request = takeRequest(received);
      if (!request) return;
      received = "";
      this.requests.push(request);
      this.script(request, socket);
    });
  }
}

/** Decodes a request once it has arrived whole. */
function takeRequest(text: string): ScriptedRequest | undefined {
  const headEnd = text.indexOf(HEAD_END);
  if (headEnd < 0) return undefined;
  const head = text.slice(0, headEnd);
  const header = (name: string) =>
    new RegExp(`^${name}: *(.*)$`, "im").exec(head)?.[1].replace(
      /[ \t]+$/,
      "",
    );
  const bodyBytes = text.length - headEnd - HEAD_END.length;
  if (bodyBytes < Number(header("content-length") ?? 0)) return undefined;
  return {
    method: head.split(" ")[0],
    target: head.split(" ")[1],
    attemptId: header("attempt-id") ?? "",
    lastEventId: header("last-event-id"),
  };
}

/** Opens an upstream for a lab's VMs, and waits until `vm` knows it. */
export async function addScripted(
  t: { teardown(run: () => Promise<void>): void },
  lab: GatewayLab,
  vm: LabVm,
  script: Script,
  region = "north",
): Promise<ScriptedUpstream> {
  const upstream = await ScriptedUpstream.open(
    `i-scripted-${Math.random().toString(16).slice(2)}`,
    script,
  );
  t.teardown(() => upstream.close());
  lab.store.put(
    `servers/${upstream.id}`,
    makeUpstreamEntry(upstream.address, region),
  );
  await waitUntil(() =>
    JSON.stringify(vm.gateway.dump().beliefs).includes(upstream.id)
  );
  return upstream;
}

/** Takes an upstream away, and waits until `vm` knows it no longer. */
export async function removeScripted(
  lab: GatewayLab,
  vm: LabVm,
  { id }: ScriptedUpstream,
): Promise<void> {
  lab.store.remove(`servers/${id}`);
  await waitUntil(() =>
    !JSON.stringify(vm.gateway.dump().beliefs).includes(id)
  );
}
