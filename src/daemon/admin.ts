/**
 * The operators' HTTP routes about one VM: its state, its drain and, for tests, its link faults.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import Router from "@koa/router";
import { z } from "zod";
import { systemClock } from "../base/mod.ts";
import { readBody } from "../edge/mod.ts";
import type { LinkFaults } from "../adapters/mod.ts";
import type { Kernel } from "../kernel/mod.ts";
import type {
  MembersMessages,
  MetricsMessages,
  TableMessages,
} from "../services/mod.ts";

/** What the routes need from the daemon. */
export interface AdminOptions {
  readonly kernel: Kernel;
  readonly vm: {
    readonly id: string;
    readonly region: string;
    readonly failureDomain: string;
  };
  readonly startedAtMs: number;
  /** The link faults that a test may set; absent unless the settings allow it. */
  readonly linkFaults?: LinkFaults;
  /** Starts a planned stop, as SIGTERM does. */
  stop(): void;
}

/** Creates the routes `GET /admin/status`, `GET /admin/dump`, `GET /admin/metrics` and `POST /admin/drain`. */
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
    // The stop starts after the answer is sent, because it closes the listener that sends the answer.
    ctx.res.once("finish", () => options.stop());
  });
  if (options.linkFaults) addLinkRoutes(router, options.linkFaults);
  return router;
}

const linkFault = z.strictObject({
  peer: z.strictObject({
    address: z.string().optional(),
    vmId: z.string().optional(),
    region: z.string().optional(),
  }),
  direction: z.enum(["in", "out"]).optional(),
  cut: z.boolean().optional(),
  delayMs: z.number().min(0).optional(),
});

/**
 * Adds `GET /admin/links` and `PUT /admin/links`. The latter replaces all link faults of this VM by the named faults of
 * its body: `{"NAME": {"peer": {"region": R}, "cut": true}}`.
 */
function addLinkRoutes(router: Router, links: LinkFaults): void {
  router.get("/links", (ctx) => void (ctx.body = links.list()));
  router.put("/links", async (ctx) => {
    const parsed = z.record(z.string(), linkFault).safeParse(
      await readJson(ctx.req),
    );
    if (!parsed.success) {
      ctx.status = 400;
      ctx.body = { error: { message: parsed.error.issues[0].message } };
      return;
    }
    links.clear();
    for (const [name, fault] of Object.entries(parsed.data)) {
      links.set(name, fault);
    }
    ctx.body = links.list();
  });
}

/** Reads a small JSON body; gives `undefined` if it is not JSON. */
async function readJson(request: IncomingMessage): Promise<unknown> {
  const body = await readBody(request, {
    bodyBytes: 1 << 20,
    bodyWaitMs: 10_000,
  }, systemClock);
  try {
    return body.isOk() ? JSON.parse(body.value.toString("utf8")) : undefined;
  } catch {
    return undefined;
  }
}
