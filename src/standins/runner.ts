/**
 * A stand-in of the users' upstreams: plain calls and event streams over HTTP, with every way in which they fail.
 *
 * @module
 */

import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** What a runner does with the requests that reach it. */
export type RunnerBehavior =
  /** Answers. */
  | "well"
  /** Says that it has no room; does not run the request. */
  | "shed"
  /** Runs the request and answers with its own failure. */
  | "error"
  /** Runs the request and never answers. */
  | "silent"
  /** Runs the request and resets the connection. */
  | "reset"
  /** Answers without a length and resets the connection in the middle. */
  | "resetUnframed"
  /** Answers, and sends a second answer after the first. */
  | "surplus"
  /** Answers another attempt. */
  | "crossed"
  /** Answers without its stamp. */
  | "unsigned"
  /** Streams half of its events, stops in the middle of one, and resets. */
  | "halfStream";

/** What a runner got. */
export interface RunnerArrival {
  readonly target: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** When its body was read whole, on the monotonic clock. */
  readonly arrivedMonoMs: number;
  /** Whether the gateway's connection ended before the answer was whole. */
  isCut: boolean;
}

/** How far into running a request that crashes it a runner ends, usually. */
const DEFAULT_CRASH_DELAY_MS = 50;

/** Events of a whole stream, unless a runner is set otherwise. */
export const DEFAULT_STREAM_EVENTS = 6;
const COLD_WINDOW_MS = 1_000;

function formatEvent(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}

/** The body of a whole stream after event `after`. */
export function formatStream(
  after = 0,
  events = DEFAULT_STREAM_EVENTS,
): string {
  let text = "";
  for (let id = after + 1; id <= events; id++) text += formatEvent(id);
  return text;
}

/** A stream under way at a runner. */
interface StreamRun {
  readonly response: ServerResponse;
  isStopped: boolean;
}

/** Copies of runs' memory that were made and not used, as `IP:PORT/HANDLE` of their source, for all runners. */
const unusedKvCopies = new Set<string>();

/** See the module. */
export class Runner {
  readonly id: string;
  readonly arrivals: RunnerArrival[] = [];
  behavior: RunnerBehavior = "well";
  /** Requests a second that it bears while it is cold; well above that it crashes. Absent: it is warm. */
  coldPerS: number | undefined;
  /** Whether it crashed; it then resets every connection. */
  hasColdCrashed = false;
  /** Whether it leaves: it serves on and ends each connection after its answer. */
  isDraining = false;
  /** Prompt tokens that it had to read; parts that it keeps are not read again. */
  uncachedTokens = 0;
  /** Time before an answer's head. */
  answerDelayMs = 0;
  /** Events of each stream. */
  streamEvents = DEFAULT_STREAM_EVENTS;
  /** Time between two events of a stream. */
  eventGapMs = 10;
  /** Whether a request with this body ends the runner some ms after it begins to run. */
  isFatal: (body: string) => boolean = () => false;
  /** How far into running such a request it ends. */
  crashDelayMs = DEFAULT_CRASH_DELAY_MS;
  /** How long it stays ended. */
  downMs = 200;
  /** How many times it ended. */
  crashCount = 0;
  /** Called when it ends. */
  onCrash: () => void = () => {};
  /** Called when it is back. Its address is another one if its port was taken meanwhile. */
  onRestart: () => void = () => {};
  /** Streams under way, by the attempt's id. */
  readonly #streams = new Map<string, StreamRun>();
  readonly #server: Server;
  readonly #cachedParts = new Set<string>();
  readonly #sockets = new Set<Socket>();
  #coldArrivalsMs: number[] = [];
  #restartTimer: NodeJS.Timeout | undefined;

  private constructor(id: string) {
    this.id = id;
    this.#server = createServer((request, response) =>
      void this.#handleRequest(request, response)
    );
    this.#server.keepAliveTimeout = 10_000;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
  }

  static async open(id: string): Promise<Runner> {
    const runner = new Runner(id);
    runner.#server.listen(0, "127.0.0.1");
    await once(runner.#server, "listening");
    return runner;
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** How many connections are open to it. */
  connections(): Promise<number> {
    return new Promise((resolve) =>
      this.#server.getConnections((_, count) => resolve(count ?? 0))
    );
  }

  /** Its program ends: all connections break at once, and new ones are refused until it is back. */
  crash(): void {
    // It may have been closed while a request that crashes it ran.
    if (this.#restartTimer || !this.#server.listening) return;
    this.crashCount++;
    this.onCrash();
    const { port } = this.#server.address() as AddressInfo;
    this.#server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
    this.#restartTimer = setTimeout(
      () => void this.#restart(port),
      this.downMs,
    );
  }

  async #restart(port: number): Promise<void> {
    const tryListen = (onPort: number) =>
      new Promise<boolean>((resolve) => {
        this.#server.once("error", () => resolve(false));
        this.#server.listen(onPort, "127.0.0.1", () => resolve(true));
      });
    if (!await tryListen(port)) await tryListen(0);
    this.#server.removeAllListeners("error");
    this.#restartTimer = undefined;
    this.onRestart();
  }

  async close(): Promise<void> {
    clearTimeout(this.#restartTimer);
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  async #handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const { headers } = request;
    if (request.url === "/api/kv-move") {
      return this.#handleMove(Buffer.concat(chunks).toString("utf8"), response);
    }
    if (
      headers["expect-instance"] !== undefined &&
      headers["expect-instance"] !== this.id
    ) {
      return void response.writeHead(421, { "instance-id": this.id }).end();
    }
    if (this.hasColdCrashed || this.#recordColdArrival()) {
      return void request.socket.resetAndDestroy();
    }
    this.#countUncached(String(headers["prompt-prefix"] ?? ""));
    if (this.isDraining) response.setHeader("connection", "close");
    if (this.behavior === "shed") {
      return void response.writeHead(503, { "not-executed": "1" }).end();
    }
    const arrival: RunnerArrival = {
      target: request.url ?? "",
      method: request.method ?? "",
      headers,
      body: Buffer.concat(chunks).toString("utf8"),
      arrivedMonoMs: performance.now(),
      isCut: false,
    };
    const kvSource = headers["kv-from"];
    if (kvSource !== undefined && !unusedKvCopies.delete(String(kvSource))) {
      return void response.writeHead(503, { "not-executed": "1" }).end();
    }
    this.arrivals.push(arrival);
    response.on(
      "close",
      () => void (arrival.isCut = !response.writableFinished),
    );
    if (this.isFatal(arrival.body)) {
      if (this.#isStream(request)) {
        response.writeHead(200, {
          "attempt-id": String(headers["attempt-id"]),
          "response-stamp": `stamp-${this.id}`,
          "content-type": "text/event-stream",
        }).flushHeaders();
      }
      return void setTimeout(() => this.crash(), this.crashDelayMs);
    }
    if (this.answerDelayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, this.answerDelayMs));
    }
    this.#respond(request, response);
  }

  /** Stops a stream without its end and copies its memory; the other runner of the copy is not asked. */
  #handleMove(body: string, response: ServerResponse): void {
    const { id, last } = JSON.parse(body) as { id: string; last: boolean };
    const stream = this.#streams.get(id);
    if (!stream || !last) return void response.writeHead(404).end();
    stream.isStopped = true;
    stream.response.destroy();
    unusedKvCopies.add(`${this.address}/${id}`);
    response.writeHead(200).end(JSON.stringify({ handle: id, created: 0 }));
  }

  /** Counts an arrival at a cold runner; it bears half as many again and three, as the users' rules have it. */
  #recordColdArrival(): boolean {
    if (this.coldPerS === undefined) return false;
    const nowMs = performance.now();
    this.#coldArrivalsMs = this.#coldArrivalsMs.filter((ms) =>
      nowMs - ms < COLD_WINDOW_MS
    );
    this.#coldArrivalsMs.push(nowMs);
    this.hasColdCrashed = this.#coldArrivalsMs.length > this.coldPerS * 1.5 + 3;
    return this.hasColdCrashed;
  }

  /** Reads the parts of a prompt from the first one on that it does not keep. */
  #countUncached(text: string): void {
    let isCached = true;
    for (const part of text.split(",").filter(Boolean)) {
      const [id, tokens] = part.split(":");
      isCached &&= this.#cachedParts.has(id);
      if (!isCached) this.uncachedTokens += Number(tokens);
      this.#cachedParts.add(id);
    }
  }

  #respond(request: IncomingMessage, response: ServerResponse): void {
    const { socket, headers } = request;
    const stampHeaders = {
      "attempt-id": this.behavior === "crossed"
        ? "another"
        : String(headers["attempt-id"]),
      ...(this.behavior === "unsigned"
        ? {}
        : { "response-stamp": `stamp-${this.id}` }),
    };
    if (this.behavior === "silent") return;
    if (this.behavior === "reset") return void socket.resetAndDestroy();
    if (this.behavior === "error") {
      return void response.writeHead(500, stampHeaders).end("failed");
    }
    if (this.behavior === "resetUnframed") {
      socket.write(
        `HTTP/1.1 200 OK\r\nAttempt-Id: ${
          stampHeaders["attempt-id"]
        }\r\nResponse-Stamp: x\r\n\r\npart`,
        () => setImmediate(() => socket.resetAndDestroy()),
      );
      return;
    }
    if (this.#isStream(request)) {
      return void this.#sendStream(request, response, stampHeaders);
    }
    const body = `served by ${this.id}`;
    response.writeHead(200, { ...stampHeaders, "content-length": body.length })
      .end(
        body,
      );
    if (this.behavior === "surplus") {
      socket.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
    }
  }

  #isStream(request: IncomingMessage): boolean {
    return request.url?.startsWith("/stream") ?? false;
  }

  async #sendStream(
    request: IncomingMessage,
    response: ServerResponse,
    stampHeaders: Record<string, string>,
  ): Promise<void> {
    response.writeHead(200, {
      ...stampHeaders,
      "content-type": "text/event-stream",
    });
    const first = Number(request.headers["last-event-id"] ?? 0) + 1;
    const stream: StreamRun = { response, isStopped: false };
    this.#streams.set(stampHeaders["attempt-id"], stream);
    for (let id = first; id <= this.streamEvents; id++) {
      if (this.behavior === "halfStream" && id > this.streamEvents / 2) {
        response.write(
          formatEvent(id).slice(0, 8),
          () => request.socket.resetAndDestroy(),
        );
        return;
      }
      if (stream.isStopped || response.destroyed) return;
      response.write(formatEvent(id));
      await new Promise((resolve) => setTimeout(resolve, this.eventGapMs));
    }
    this.#streams.delete(stampHeaders["attempt-id"]);
    response.end();
  }
}
