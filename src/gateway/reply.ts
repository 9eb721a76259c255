/**
 * Where the answer to a request goes: to the caller, or to the VM that handed the request over.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import { type CodeName, codes, type Failure } from "../base/mod.ts";
import { encodeFailure } from "../platform/mod.ts";

/** See the module. A reply ends once: with an answer, a failure, or a broken connection. */
export abstract class Reply {
  protected readonly response: ServerResponse;
  #isDisconnected = false;
  #onDisconnect: (() => void) | undefined;

  constructor(response: ServerResponse) {
    this.response = response;
    response.sendDate = false;
    const { socket } = response.req;
    // Node says so on the answer only when its own side is closed too, some turns of a busy loop later.
    const onEnd = () => this.#noteDisconnect();
    socket.once("end", onEnd);
    response.on("close", () => {
      socket.off("end", onEnd);
      this.#noteDisconnect();
    });
    response.on("error", () => {});
  }

  /** Sets what to do when the other side leaves before its answer is whole. */
  onDisconnect(run: () => void): void {
    this.#onDisconnect = run;
  }

  /** Sets what to do when the answer is over, whole or not. */
  onClosed(run: () => void): void {
    this.response.on("close", run);
  }

  /** Whether the other side left before its answer was whole. */
  get isDisconnected(): boolean {
    return this.#isDisconnected;
  }

  #noteDisconnect(): void {
    if (this.#isDisconnected || this.response.writableFinished) return;
    this.#isDisconnected = true;
    this.#onDisconnect?.();
  }

  /** Whether part of an answer is out, so that no other can follow. */
  get hasStarted(): boolean {
    return this.response.headersSent;
  }

  /** Passes on an upstream's status and headers; `bodyBytes` is its length, if known. */
  start(
    status: number,
    headers: readonly string[],
    bodyBytes: number | undefined,
  ): void {
    const all = bodyBytes === undefined
      ? [...headers]
      : [...headers, "Content-Length", String(bodyBytes)];
    if (this.closesConnection) all.push("Connection", "close");
    this.response.writeHead(status, all);
  }

  /** Passes bytes on; `false` means that the other side reads too slowly: wait for {@link Reply.onDrain}. */
  write(chunk: Buffer): boolean {
    return this.response.write(chunk);
  }

  onDrain(run: () => void): void {
    this.response.once("drain", run);
  }

  /** The answer is whole. */
  end(): void {
    this.response.end();
  }

  /** The answer cannot become whole: the connection breaks, so that it does not look complete. */
  abort(): void {
    this.response.destroy();
  }

  /** Answers with a failure of our own. */
  abstract fail(
    failure: Failure,
    comeBackMs: number,
    details?: FailureDetails,
  ): void;

  /** Whether the connection is closed after this answer. */
  protected abstract readonly closesConnection: boolean;
}

/** What a VM that handed the request over is told besides. */
export interface FailureDetails {
  /** How many upstreams the request came to. */
  readonly arrivals: number;
  /** The upstream that ended as it began to run there. */
  readonly crashedUpstream: string | undefined;
}

/** A reply to a caller. */
export class CallerReply extends Reply {
  readonly #isDraining: () => boolean;

  constructor(response: ServerResponse, isDraining: () => boolean) {
    super(response);
    this.#isDraining = isDraining;
  }

  protected get closesConnection(): boolean {
    return this.#isDraining();
  }

  fail(failure: Failure, comeBackMs: number): void {
    const { status, headers, body } = encodeFailure(failure, comeBackMs);
    // A caller that stopped in the middle of its body would hold its connection and its place for ever.
    if (this.closesConnection || !this.response.req.complete) {
      headers.push("Connection", "close");
    }
    this.response.writeHead(status, headers);
    this.response.end(body);
  }
}

/** Our own headers between VMs; a caller's of these names are not read. */
export const RELAY_HEADERS = {
  /** How long the request may still take, in ms. */
  waitMs: "ibisgap-wait-ms",
  /** The configuration that the sender decided on. */
  configVersion: "ibisgap-config",
  /** Upstreams that the request may still be sent to. */
  mostUpstreams: "ibisgap-most-upstreams",
  /** Digest of the caller's key; the key itself is told to nobody. */
  keyDigest: "ibisgap-key-digest",
  /** Result code of a failure of the answering VM; absent on upstreams' answers. */
  code: "ibisgap-code",
  /** Whether the request can have run. */
  ran: "ibisgap-ran",
  /** When to come back, in ms. */
  comeBackMs: "ibisgap-come-back-ms",
  /** How many upstreams the request came to before it failed. */
  arrivals: "ibisgap-arrivals",
  /** The upstream that ended under the request. */
  endedUpstream: "ibisgap-ended-upstream",
  /** Set if the request has the leave to run although upstreams ended under it. */
  onTrial: "ibisgap-on-trial",
} as const;

/** A reply to another VM, which answers its caller. */
export class PeerReply extends Reply {
  protected readonly closesConnection = false;

  fail(
    failure: Failure,
    comeBackMs: number,
    { arrivals, crashedUpstream }: FailureDetails = {
      arrivals: 0,
      crashedUpstream: undefined,
    },
  ): void {
    this.response.writeHead(codes[failure.code].httpStatus, [
      RELAY_HEADERS.code,
      failure.code,
      RELAY_HEADERS.ran,
      failure.ran,
      RELAY_HEADERS.comeBackMs,
      String(comeBackMs),
      RELAY_HEADERS.arrivals,
      String(arrivals),
      ...(crashedUpstream === undefined
        ? []
        : [RELAY_HEADERS.endedUpstream, crashedUpstream]),
      "Content-Length",
      "0",
    ]);
    this.response.end();
  }
}

/** A failure that another VM answered with. */
export interface PeerFailure {
  readonly failure: Failure;
  readonly comeBackMs: number;
  /** How many upstreams the request came to there. */
  readonly arrivals: number;
  /** The upstream that ended under it there. */
  readonly crashedUpstream: string | undefined;
}

/** Reads a failure that another VM answered with; `undefined` if it passed an upstream's answer on. */
export function decodePeerFailure(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): PeerFailure | undefined {
  const code = headers[RELAY_HEADERS.code];
  if (typeof code !== "string") return undefined;
  const codeName = code in codes ? code as CodeName : "internal";
  const ran = headers[RELAY_HEADERS.ran];
  const ended = headers[RELAY_HEADERS.endedUpstream];
  return {
    failure: {
      code: codeName,
      ran: ran === "no" || ran === "yes" ? ran : "unknown",
      message: codes[codeName].text,
    },
    comeBackMs: Number(headers[RELAY_HEADERS.comeBackMs]) || 0,
    arrivals: Number(headers[RELAY_HEADERS.arrivals]) || 0,
    crashedUpstream: typeof ended === "string" ? ended : undefined,
  };
}
