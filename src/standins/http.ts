/**
 * HTTP parts that the stand-in upstreams share: a listener on loopback, and control routes for faults and records.
 *
 * @module
 */

import { once } from "node:events";
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import Router from "@koa/router";
import Koa, { type Context } from "koa";
import { listenAt } from "../adapters/mod.ts";
import type { Faults } from "./faults.ts";
import type { RunRecords } from "./records.ts";

const MAX_BODY_BYTES = 64 * 1024 * 1024;

/** The address that a stand-in listens on. */
export interface ListenOptions {
  /** 0 lets the system choose a port. */
  readonly port?: number;
  readonly host?: string;
}

/** A listener that can reset all its connections. */
export interface Listener {
  readonly url: string;
  /** While dead, every open and new connection is reset; the separate listener of `/faults` still answers. */
  setDead(dead: boolean): void;
  close(): Promise<void>;
}

/** Starts to serve a Koa application. */
export async function listen(
  app: Koa,
  options: ListenOptions,
): Promise<Listener> {
  app.silent = true;
  const server = createServer(app.callback());
  const sockets = new Set<Socket>();
  let dead = false;
  server.keepAliveTimeout = 60_000;
  server.on("connection", (socket) => {
    if (dead) return void socket.resetAndDestroy();
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
  });
  const host = options.host ?? "127.0.0.1";
  await listenAt(server, { host, port: options.port ?? 0 });
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://${host}:${port}`,
    setDead: (value) => {
      dead = value;
      if (dead) { for (const socket of sockets) socket.resetAndDestroy(); }
    },
    close: () => closeServer(server, sockets),
  };
}

async function closeServer(
  server: Server,
  sockets: Set<Socket>,
): Promise<void> {
  const closed = once(server, "close");
  server.close();
  for (const socket of sockets) socket.destroy();
  await closed;
}

/**
 * Creates the control routes: `GET /records`, `DELETE /records`, `GET /faults`, and `POST /faults` with
 * `{"set": [...]}`, `{"add": {...}}` or `{"clear": true}`.
 */
export function createControlRouter(
  // deno-lint-ignore no-explicit-any
  faults: Faults<any>,
  records: RunRecords,
): Router {
  const router = new Router();
  router.get("/records", (ctx) => {
    ctx.body = records.list();
  });
  router.delete("/records", (ctx) => {
    records.clear();
    ctx.body = [];
  });
  router.get("/faults", (ctx) => {
    ctx.body = faults.list();
  });
  router.post("/faults", async (ctx) => {
    const change = await readJson(ctx.req) as Record<string, unknown>;
    try {
      if (Array.isArray(change.set)) faults.set(change.set);
      else if (change.add) faults.add(change.add);
      else if (change.clear) faults.clear();
      else throw new Error("one of set, add and clear is needed");
      ctx.body = faults.list();
    } catch (error) {
      sendError(ctx, 400, String(error));
    }
  });
  return router;
}

/** Serves the control routes on a separate listener, so that the fault `dead` of an upstream can be cleared. */
export async function listenControl(
  router: Router,
  options: ListenOptions,
): Promise<Listener> {
  const app = new Koa();
  app.use(router.routes());
  return await listen(app, { host: options.host, port: 0 });
}

/** Reads the whole body of a request. */
export async function readBody(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of req) {
    bytes += chunk.length;
    if (bytes > MAX_BODY_BYTES) throw new Error("request body is too large");
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** Reads a body as JSON; returns `undefined` if it is not valid JSON or cannot be read. */
export async function readJson(req: IncomingMessage): Promise<unknown> {
  try {
    return JSON.parse((await readBody(req)).toString("utf8"));
  } catch {
    return undefined;
  }
}

/** Returns the value of a header; `undefined` if it is absent or repeated. */
export function getHeader(ctx: Context, name: string): string | undefined {
  const value = ctx.req.headers[name];
  return typeof value === "string" ? value : undefined;
}

/** Answers with an error body in OpenAI's format. */
export function sendError(ctx: Context, status: number, message: string): void {
  ctx.status = status;
  ctx.body = { error: { message, type: "error", param: null, code: status } };
}
