/**
 * Operators' routes that concern one VM: its state, its drain, and for tests its links.
 *
 * @module
 */

import Router from "@koa/router";
import type { Kernel } from "../kernel/mod.ts";
import type {
  MembersMessages,
  MetricsMessages,
  TableMessages,
} from "../services/mod.ts";

/** What the routes need of the daemon. */
export interface AdminOptions {
  readonly kernel: Kernel;
  readonly vm: {
    readonly id: string;
    readonly region: string;
    readonly failureDomain: string;
  };
  readonly startedAtMs: number;
  /** Begins a planned stop, as SIGTERM does. */
  stop(): void;
}

/** `GET /admin/status`, `GET /admin/dump`, `GET /admin/metrics`, `POST /admin/drain`. */
export function adminRoutes(options: AdminOptions): Router {
  const { kernel } = options;
  const router = new Router({ prefix: "/admin" });
  router.get("/status", async (ctx) => {
    const table = await kernel.get<TableMessages>("table").ask(
      "current",
      undefined,
    );
    const vms = await kernel.get<MembersMessages>("members").ask(
      "region",
      undefined,
    );
    ctx.body = {
      vm: options.vm,
      startedAtMs: options.startedAtMs,
      nowMs: kernel.clock.nowMs(),
      tableVersion: table?.version ?? null,
      region: vms.map(({ id, state, tableVersion, callerUrl }) => ({
        id,
        state,
        tableVersion,
        callerUrl,
      })),
    };
  });
  router.get("/dump", (ctx) => void (ctx.body = kernel.dump()));
  router.get("/metrics", async (ctx) => {
    ctx.type = "text/plain; version=0.0.4";
    ctx.body = await kernel.get<MetricsMessages>("metrics").ask(
      "page",
      undefined,
    );
  });
  router.post("/drain", (ctx) => {
    ctx.status = 202;
    ctx.body = { draining: true };
    // After the answer has left: the listener that carries it is about to close.
    ctx.res.once("finish", () => options.stop());
  });
  return router;
}
