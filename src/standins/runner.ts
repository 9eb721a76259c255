/**
 * A stand-in for the upstreams of the users' platform: plain calls and event streams over HTTP, with the ways in which
 * upstreams fail.
 *
 * @module
 */

import { once } from "node:events";
import {
  createServer,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { listenAt } from "../adapters/mod.ts";
import {
  type AnswerEnding,
  type AnswerFraming,
  type AnswerSettings,
  type CrashEnding,
  DEFAULT_PARTIAL_EVENT_BYTES,
  DEFAULT_STREAM_EVENTS,
  isIgnoring,
  type RunnerBehavior,
  RunnerStream,
  sendPlain,
  sendStreamHead,
  stampHeaders,
} from "./runner_answer.ts";
import type { RunnerArrival, RunnerRefusal } from "./runner_records.ts";

/** Where a runner listens. */
export interface RunnerListen {
  readonly host: string;
  /** 0: any free port, and another one after a crash if that port is taken. */
  readonly port: number;
}

const ANY_LOOPBACK_PORT: RunnerListen = { host: "127.0.0.1", port: 0 };

/** Default time between the start of a fatal request and the crash. */
const DEFAULT_CRASH_DELAY_MS = 50;

const COLD_WINDOW_MS = 1_000;

/** Targets whose answers are streams. */
const STREAM_TARGET = /^\/(long)?stream/;

/** KV cache copies that no runner has used yet, as `IP:PORT/HANDLE` of their source; shared by all runners. */
const unusedKvCopies = new Set<string>();

/** How much of its answer a fatal stream sends before it crashes its runner. */
export type FatalStart = "nothing" | "head" | "firstBytes";

function partIds(promptPrefix: string): string[] {
  return promptPrefix.split(",").filter(Boolean)
    .map((part) => part.slice(0, part.lastIndexOf(":")));
}

/** A stand-in upstream. */
export class Runner implements AnswerSettings {
  readonly id: string;
  readonly arrivals: RunnerArrival[] = [];
  /** The version of its software; it doesn't check which version began a stream that it continues. */
  version: string | undefined;
  /** When its process was started, as its entry and its report tell; absent: they don't tell. */
  bornMs: number | undefined = Date.now();
  /** Whether it serves a report about itself; if `silent`, it never answers that. */
  report: "served" | "missing" | "silent" = "served";
  /** Number of reports that it was asked for. */
  reportCount = 0;
  behavior: RunnerBehavior = "well";
  /** How its answers tell where they end. */
  framing: AnswerFraming = "framed";
  /** How its streams end. */
  ending: AnswerEnding = "whole";
  /** How its plain answers end. */
  plainEnding: AnswerEnding = "whole";
  partialEventBytes = DEFAULT_PARTIAL_EVENT_BYTES;
  /** Requests a second that it can take while it is cold; well above that it crashes. Absent: it is warm. */
  coldPerS: number | undefined;
  /** Whether too many requests while cold crashed it; it then resets the connection of every request. */
  hasColdCrashed = false;
  /** Whether it is draining: it still serves requests, and closes each connection after the answer. */
  isDraining = false;
  /** Whether it says in all its answers that it is about to stop. */
  isLeaving = false;
  /** The `Retry-After` of its refusals; absent if they have none. */
  refusalRetryAfter: string | undefined;
  /** The requests that it turned away. */
  readonly refusals: RunnerRefusal[] = [];
  /** Prompt tokens that it had to process because they were not in its cache. */
  uncachedTokens = 0;
  /** Delay before the head of an answer. */
  answerDelayMs = 0;
  /** Number of bytes of the plain answer to a target at least. */
  plainBytesOf: (target: string) => number = () => 0;
  /** Number of events of each stream. */
  streamEvents = DEFAULT_STREAM_EVENTS;
  /** Time between two events of a stream. */
  eventGapMs = 10;
  /** What a stream that ends early waits for before it does. */
  earlyEnd: Promise<void> = Promise.resolve();
  /**
   * Whether a request with this body, and these parts of its prompt but for the last, crashes the runner `crashDelayMs`
   * after it begins to run.
   */
  isFatal: (body: string, sharedParts: readonly string[]) => boolean = () =>
    false;
  /** How much of its answer a fatal stream sends before the crash. */
  fatalStart: FatalStart = "head";
  /** Time between the start of a fatal request and the crash. */
  crashDelayMs = DEFAULT_CRASH_DELAY_MS;
  /** How long it stays down after a crash. */
  downMs = 200;
  /** Number of crashes. */
  crashCount = 0;
  /** Called at a crash. */
  onCrash: (ending: CrashEnding) => void = () => {};
  /** Called after the restart. The address has changed if any port was taken and another process has it now. */
  onRestart: () => void = () => {};
  /** Streams in progress, by attempt id. */
  readonly #streams = new Map<string, RunnerStream>();
  readonly #listen: RunnerListen;
  readonly #server: Server;
  readonly #cachedParts = new Set<string>();
  readonly #sockets = new Set<Socket>();
  #coldArrivalsMs: number[] = [];
  #restartTimer: NodeJS.Timeout | undefined;

  private constructor(id: string, listen: RunnerListen) {
    this.id = id;
    this.#listen = listen;
    this.#server = createServer((request, response) =>
      void this.#handleRequest(request, response)
    );
    this.#server.keepAliveTimeout = 10_000;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
  }

  /** Number of streams in progress. */
  get openStreams(): number {
    return this.#streams.size;
  }

  /** Opens a runner at `listen`. */
  static async open(
    id: string,
    listen: RunnerListen = ANY_LOOPBACK_PORT,
  ): Promise<Runner> {
    const runner = new Runner(id, listen);
    runner.#server.listen(listen.port, listen.host);
    await once(runner.#server, "listening");
    return runner;
  }

  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `${this.#listen.host}:${port}`;
  }

  /** Number of open connections. */
  connections(): Promise<number> {
    return new Promise((resolve) =>
      this.#server.getConnections((_, count) => resolve(count ?? 0))
    );
  }

  /**
   * Crashes: ends all connections at once and refuses new ones until the restart. With `close`, connections end in order
   * and each stream ends inside its next event.
   */
  crash(ending: CrashEnding = "reset"): void {
    // The runner may have been closed while a fatal request ran.
    if (this.#restartTimer || !this.#server.listening) return;
    this.crashCount++;
    this.onCrash(ending);
    const { port } = this.#server.address() as AddressInfo;
    this.#server.close();
    if (ending === "close") this.#closeInEvents();
    else for (const socket of this.#sockets) socket.resetAndDestroy();
    this.#restartTimer = setTimeout(
      () => void this.#restart(port),
      this.downMs,
    );
  }

  #closeInEvents(): void {
    for (const stream of this.#streams.values()) stream.closeInEvent();
    for (const socket of this.#sockets) socket.destroySoon();
  }

  async #restart(port: number): Promise<void> {
    const { host } = this.#listen;
    const tryListen = (onPort: number) =>
      listenAt(this.#server, { host, port: onPort })
        .then(() => true, () => false);
    const isBack = await tryListen(port) || await tryListen(this.#listen.port);
    if (!isBack) throw new Error(`${this.id}: port ${port} has been taken`);
    this.#server.removeAllListeners("error");
    this.#restartTimer = undefined;
    // Two starts in the same millisecond must not look like one.
    if (this.bornMs !== undefined) {
      this.bornMs = Math.max(Date.now(), this.bornMs + 1);
    }
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
    if (request.url === "/api/report") return this.#sendReport(response);
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
    if (this.isLeaving) response.setHeader("server-leaving", "1");
    if (this.behavior === "shed") return this.#refuse(headers, response);
    const arrival: RunnerArrival = {
      target: request.url ?? "",
      method: request.method ?? "",
      headers,
      body: Buffer.concat(chunks).toString("utf8"),
      arrivedMonoMs: performance.now(),
      isCut: false,
      isIgnored: false,
      endedMonoMs: Infinity,
    };
    const kvSource = headers["kv-from"];
    if (kvSource !== undefined && !unusedKvCopies.delete(String(kvSource))) {
      return this.#refuse(headers, response);
    }
    this.arrivals.push(arrival);
    response.on("close", () => {
      arrival.isCut = !response.writableFinished;
      arrival.endedMonoMs = performance.now();
    });
    const sharedParts = partIds(String(headers["prompt-prefix"] ?? ""))
      .slice(0, -1);
    if (this.isFatal(arrival.body, sharedParts)) {
      if (this.#isStream(request)) this.#startFatal(headers, response);
      return void setTimeout(() => this.crash(), this.crashDelayMs);
    }
    if (this.answerDelayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, this.answerDelayMs));
    }
    arrival.isIgnored = isIgnoring(this.behavior);
    this.#respond(request, response);
  }

  #sendReport(response: ServerResponse): void {
    this.reportCount++;
    if (this.report === "silent") return;
    if (this.report === "missing") return void response.writeHead(404).end();
    response.writeHead(200, { "content-type": "application/json" });
    response.end(
      JSON.stringify({ seq: this.arrivals.length, born: this.bornMs }),
    );
  }

  #startFatal(headers: IncomingHttpHeaders, response: ServerResponse): void {
    if (this.fatalStart === "nothing") return;
    response.writeHead(200, {
      "attempt-id": String(headers["attempt-id"]),
      "response-stamp": `stamp-${this.id}`,
      "content-type": "text/event-stream",
    }).flushHeaders();
    if (this.fatalStart === "firstBytes") response.write("id: 1\ndata: ");
  }

  #refuse(headers: IncomingHttpHeaders, response: ServerResponse): void {
    this.refusals.push({
      attemptId: String(headers["attempt-id"]),
      refusedMonoMs: performance.now(),
      retryAfter: this.refusalRetryAfter,
    });
    if (this.refusalRetryAfter !== undefined) {
      response.setHeader("retry-after", this.refusalRetryAfter);
    }
    response.writeHead(503, { "not-executed": "1" }).end();
  }

  /** Stops a stream before its end and keeps a copy of its KV cache; the runner that will use the copy is not contacted. */
  #handleMove(body: string, response: ServerResponse): void {
    const { id, last } = JSON.parse(body) as { id: string; last: boolean };
    const stream = this.#streams.get(id);
    if (!stream || !last) return void response.writeHead(404).end();
    stream.stop();
    unusedKvCopies.add(`${this.address}/${id}`);
    response.writeHead(200).end(JSON.stringify({ handle: id, created: 0 }));
  }

  /** Counts an arrival at a cold runner; more than 1.5 times `coldPerS` plus 3 in a second crash it, as on the platform. */
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

  /** Counts the prompt tokens from the first part that is not cached, and caches all parts. */
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
    const { socket } = request;
    if (isIgnoring(this.behavior)) {
      const isHeadSent = this.behavior === "headOnly" &&
        this.#isStream(request);
      if (isHeadSent) sendStreamHead(this, request, response).flushHeaders();
      return;
    }
    if (this.behavior === "reset") return void socket.resetAndDestroy();
    const stamps = stampHeaders(this, request);
    if (this.behavior === "error") {
      return void response.writeHead(500, stamps).end("failed");
    }
    if (this.behavior === "resetUnframed") {
      socket.write(
        `HTTP/1.1 200 OK\r\nAttempt-Id: ${
          stamps["attempt-id"]
        }\r\nResponse-Stamp: x\r\n\r\npart`,
        () => setImmediate(() => socket.resetAndDestroy()),
      );
      return;
    }
    if (this.#isStream(request)) {
      return void this.#sendStream(request, response);
    }
    sendPlain(this, request, response);
    if (this.behavior === "surplus") {
      socket.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
    }
  }

  #isStream(request: IncomingMessage): boolean {
    return STREAM_TARGET.test(request.url ?? "");
  }

  async #sendStream(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const attemptId = stampHeaders(this, request)["attempt-id"];
    const stream = new RunnerStream(this, request, response);
    this.#streams.set(attemptId, stream);
    await stream.send();
    if (this.#streams.get(attemptId) === stream) {
      this.#streams.delete(attemptId);
    }
  }
}
