/**
 * What the stand-in upstreams share: a listener on loopback, and routes for faults and records.
 *
 * @module
 */

import { once } from "node:events";
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import Router from "@koa/router";
import Koa, { type Context } from "koa";
import type { Faults } from "./faults.ts";
import type { RunRecords } from "./records.ts";

const MAX_BODY_BYTES = 64 * 1024 * 1024;

/** Where a stand-in listens. */
export interface ListenOptions {
  /** 0 lets the system choose. */
  readonly port?: number;
  readonly host?: string;
}

/** A listener whose connections can be reset at will. */
export interface Listener {
  readonly url: string;
  /** While dead, every open and new connection is reset, except on `/faults`' own listener. */
  setDead(dead: boolean): void;
  close(): Promise<void>;
}

/** Serves a Koa application. */
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
  server.listen(options.port ?? 0, host);
  await once(server, "listening");
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
 * The control routes: `GET /records`, `DELETE /records`, `GET /faults`, and `POST /faults` with `{"set": [...]}`,
 * `{"add": {...}}` or `{"clear": true}`.
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

/** A separate listener for the control routes, so that a dead upstream can be told to live again. */
export async function listenControl(
  router: Router,
  options: ListenOptions,
): Promise<Listener> {
  const app = new Koa();
  app.use(router.routes());
  return await listen(app, { host: options.host, port: 0 });
}

/** Reads a request's body whole. */
export async function readBody(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of req) {
    bytes += chunk.length;
    if (bytes > MAX_BODY_BYTES) throw new Error("body too large");
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** Reads a body as JSON; `undefined` if it is none. */
export async function readJson(req: IncomingMessage): Promise<unknown> {
  try {
    return JSON.parse((await readBody(req)).toString("utf8"));
  } catch {
    return undefined;
  }
}

/** The value of a header that is sent once. */
export function getHeader(ctx: Context, name: string): string | undefined {
  const value = ctx.req.headers[name];
  return typeof value === "string" ? value : undefined;
}

/** Answers with an error in the OpenAI shape. */
export function sendError(ctx: Context, status: number, message: string): void {
  ctx.status = status;
  ctx.body = { error: { message, type: "error", param: null, code: status } };
}
