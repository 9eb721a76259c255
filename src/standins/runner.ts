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
export type RunnerMood =
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
  cut: boolean;
}

/** How far into running a request that crashes it a runner ends, usually. */
const FATAL_MS = 50;

/** Events of a whole stream, unless a runner is set otherwise. */
export const STREAM_EVENTS = 6;
const COLD_WINDOW_MS = 1_000;

function eventText(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}

/** The body of a whole stream after event `after`. */
export function streamText(after = 0, events = STREAM_EVENTS): string {
  let text = "";
  for (let id = after + 1; id <= events; id++) text += eventText(id);
  return text;
}

/** A stream under way at a runner. */
interface StreamRun {
  readonly response: ServerResponse;
  isStopped: boolean;
}

/** Copies of runs' memory that were made and not used, as `IP:PORT/HANDLE` of their source, for all runners. */
const copies = new Set<string>();

/** See the module. */
export class Runner {
  readonly id: string;
  readonly arrivals: RunnerArrival[] = [];
  mood: RunnerMood = "well";
  /** Requests a second that it bears while it is cold; well above that it crashes. Absent: it is warm. */
  coldPerS: number | undefined;
  /** Whether it crashed; it then resets every connection. */
  isCrashed = false;
  /** Whether it leaves: it serves on and ends each connection after its answer. */
  isDraining = false;
  /** Prompt tokens that it had to read; parts that it keeps are not read again. */
  readTokens = 0;
  /** Time before an answer's head. */
  workMs = 0;
  /** Events of each stream. */
  streamEvents = STREAM_EVENTS;
  /** Time between two events of a stream. */
  eventGapMs = 10;
  /** Whether a request with this body ends the runner some ms after it begins to run. */
  isFatal: (body: string) => boolean = () => false;
  /** How far into running such a request it ends. */
  fatalMs = FATAL_MS;
  /** How long it stays ended. */
  downMs = 200;
  /** How many times it ended. */
  ends = 0;
  /** Called when it ends. */
  onEnd: () => void = () => {};
  /** Called when it is back. Its address is another one if its port was taken meanwhile. */
  onBack: () => void = () => {};
  /** Streams under way, by the attempt's id. */
  readonly #runs = new Map<string, StreamRun>();
  readonly #server: Server;
  readonly #keptParts = new Set<string>();
  readonly #sockets = new Set<Socket>();
  #coldArrivalsMs: number[] = [];
  #backTimer: NodeJS.Timeout | undefined;

  private constructor(id: string) {
    this.id = id;
    this.#server = createServer((request, response) =>
      void this.#answer(request, response)
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
  end(): void {
    // It may have been closed while a request that crashes it ran.
    if (this.#backTimer || !this.#server.listening) return;
    this.ends++;
    this.onEnd();
    const { port } = this.#server.address() as AddressInfo;
    this.#server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
    this.#backTimer = setTimeout(() => void this.#comeBack(port), this.downMs);
  }

  async #comeBack(port: number): Promise<void> {
    const listens = (at: number) =>
      new Promise<boolean>((resolve) => {
        this.#server.once("error", () => resolve(false));
        this.#server.listen(at, "127.0.0.1", () => resolve(true));
      });
    if (!await listens(port)) await listens(0);
    this.#server.removeAllListeners("error");
    this.#backTimer = undefined;
    this.onBack();
  }

  async close(): Promise<void> {
    clearTimeout(this.#backTimer);
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  async #answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const { headers } = request;
    if (request.url === "/api/kv-move") {
      return this.#moveRun(Buffer.concat(chunks).toString("utf8"), response);
    }
    if (
      headers["expect-instance"] !== undefined &&
      headers["expect-instance"] !== this.id
    ) {
      return void response.writeHead(421, { "instance-id": this.id }).end();
    }
    if (this.isCrashed || this.#crashesCold()) {
      return void request.socket.resetAndDestroy();
    }
    this.#readPrompt(String(headers["prompt-prefix"] ?? ""));
    if (this.isDraining) response.setHeader("connection", "close");
    if (this.mood === "shed") {
      return void response.writeHead(503, { "not-executed": "1" }).end();
    }
    const arrival: RunnerArrival = {
      target: request.url ?? "",
      method: request.method ?? "",
      headers,
      body: Buffer.concat(chunks).toString("utf8"),
      arrivedMonoMs: performance.now(),
      cut: false,
    };
    const goesOnFrom = headers["kv-from"];
    if (goesOnFrom !== undefined && !copies.delete(String(goesOnFrom))) {
      return void response.writeHead(503, { "not-executed": "1" }).end();
    }
    this.arrivals.push(arrival);
    response.on("close", () => void (arrival.cut = !response.writableFinished));
    if (this.isFatal(arrival.body)) {
      if (this.#isStream(request)) {
        response.writeHead(200, {
          "attempt-id": String(headers["attempt-id"]),
          "response-stamp": `stamp-${this.id}`,
          "content-type": "text/event-stream",
        }).flushHeaders();
      }
      return void setTimeout(() => this.end(), this.fatalMs);
    }
    if (this.workMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, this.workMs));
    }
    this.#act(request, response);
  }

  /** Stops a stream without its end and copies its memory; the other runner of the copy is not asked. */
  #moveRun(body: string, response: ServerResponse): void {
    const { id, last } = JSON.parse(body) as { id: string; last: boolean };
    const run = this.#runs.get(id);
    if (!run || !last) return void response.writeHead(404).end();
    run.isStopped = true;
    run.response.destroy();
    copies.add(`${this.address}/${id}`);
    response.writeHead(200).end(JSON.stringify({ handle: id, created: 0 }));
  }

  /** Counts an arrival at a cold runner; it bears half as many again and three, as the users' rules have it. */
  #crashesCold(): boolean {
    if (this.coldPerS === undefined) return false;
    const nowMs = performance.now();
    this.#coldArrivalsMs = this.#coldArrivalsMs.filter((ms) =>
      nowMs - ms < COLD_WINDOW_MS
    );
    this.#coldArrivalsMs.push(nowMs);
    this.isCrashed = this.#coldArrivalsMs.length > this.coldPerS * 1.5 + 3;
    return this.isCrashed;
  }

  /** Reads the parts of a prompt from the first one on that it does not keep. */
  #readPrompt(text: string): void {
    let isKept = true;
    for (const part of text.split(",").filter(Boolean)) {
      const [id, tokens] = part.split(":");
      isKept &&= this.#keptParts.has(id);
      if (!isKept) this.readTokens += Number(tokens);
      this.#keptParts.add(id);
    }
  }

  #act(request: IncomingMessage, response: ServerResponse): void {
    const { socket, headers } = request;
    const own = {
      "attempt-id": this.mood === "crossed"
        ? "another"
        : String(headers["attempt-id"]),
      ...(this.mood === "unsigned"
        ? {}
        : { "response-stamp": `stamp-${this.id}` }),
    };
    if (this.mood === "silent") return;
    if (this.mood === "reset") return void socket.resetAndDestroy();
    if (this.mood === "error") {
      return void response.writeHead(500, own).end("failed");
    }
    if (this.mood === "resetUnframed") {
      socket.write(
        `HTTP/1.1 200 OK\r\nAttempt-Id: ${
          own["attempt-id"]
        }\r\nResponse-Stamp: x\r\n\r\npart`,
        () => setImmediate(() => socket.resetAndDestroy()),
      );
      return;
    }
    if (this.#isStream(request)) {
      return void this.#stream(request, response, own);
    }
    const body = `served by ${this.id}`;
    response.writeHead(200, { ...own, "content-length": body.length }).end(
      body,
    );
    if (this.mood === "surplus") {
      socket.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
    }
  }

  #isStream(request: IncomingMessage): boolean {
    return request.url?.startsWith("/stream") ?? false;
  }

  async #stream(
    request: IncomingMessage,
    response: ServerResponse,
    own: Record<string, string>,
  ): Promise<void> {
    response.writeHead(200, { ...own, "content-type": "text/event-stream" });
    const first = Number(request.headers["last-event-id"] ?? 0) + 1;
    const run: StreamRun = { response, isStopped: false };
    this.#runs.set(own["attempt-id"], run);
    for (let id = first; id <= this.streamEvents; id++) {
      if (this.mood === "halfStream" && id > this.streamEvents / 2) {
        response.write(
          eventText(id).slice(0, 8),
          () => request.socket.resetAndDestroy(),
        );
        return;
      }
      if (run.isStopped || response.destroyed) return;
      response.write(eventText(id));
      await new Promise((resolve) => setTimeout(resolve, this.eventGapMs));
    }
    this.#runs.delete(own["attempt-id"]);
    response.end();
  }
}
