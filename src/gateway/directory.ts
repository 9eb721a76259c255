/**
 * Answers callers' lookups of VMs and the platform's readiness checks, and serves the metrics page.
 *
 * @module
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import {
  type Handlers,
  type Kernel,
  type Messages,
  Task,
} from "../kernel/mod.ts";
import {
  decodeLookup,
  encodeLookup,
  LOOKUP_PATH,
  READY_PATH,
} from "../platform/mod.ts";
import { type DirectoryVm, selectVms } from "../routing/mod.ts";
import type { GatewayContext } from "./context.ts";
import { closeServer, listen, splitAddress } from "./listen.ts";

/**
 * How long callers may cache an answer. Some cache it three times as long; with 1 s, all have left a VM 3 s after it
 * began to drain, and half of the drain time remains for the requests that they sent.
 */
const ANSWER_TTL_S = 1;
/** Most addresses that callers take from an answer. */
const MAX_ADDRESSES = 64;
const METRICS_PATH = "/metrics";
const URL_BASE = "http://directory";

/** Serves the endpoints for lookups, readiness and metrics. */
export class Directory extends Task {
  readonly name = "directory";
  readonly #context: GatewayContext;
  readonly #servers: Server[] = [];
  protected readonly handlers: Handlers<Messages> = {};

  constructor(context: GatewayContext) {
    super();
    this.#context = context;
  }

  async start(kernel: Kernel): Promise<void> {
    const { listen: addresses, vm } = this.#context.settings;
    const respond = (request: IncomingMessage, response: ServerResponse) =>
      this.#respond(request, response);
    for (const address of new Set([addresses.directory, addresses.ready])) {
      this.#servers.push(await listen(address, {}, kernel.log, respond));
    }
    try {
      this.#servers.push(
        await listen(
          `${vm.ip}:${addresses.metrics}`,
          {},
          kernel.log,
          respond,
        ),
      );
    } catch (error) {
      kernel.log.warn("metrics listener could not be opened", {
        port: addresses.metrics,
        reason: String(error),
      });
    }
  }

  async close(_deadlineMs: number): Promise<void> {
    await Promise.all(this.#servers.map(closeServer));
  }

  dump(): unknown {
    return { addresses: this.addresses(this.#context.settings.vm.region) };
  }

  /**
   * Whether this VM accepts requests: it has to know where to send them. If it reported ready any earlier after a
   * restart, it would refuse requests that other VMs can serve.
   */
  get isReady(): boolean {
    const { storeView, isDraining } = this.#context;
    return storeView.config !== undefined &&
      storeView.copies.upstreams.rev > 0 &&
      !isDraining;
  }

  /** The addresses that callers of a region should use; see {@link selectVms}. */
  addresses(region: string): string[] {
    const { settings, members, isDraining, endMonoMs, clock } = this.#context;
    const { port } = splitAddress(settings.listen.callers);
    const regions = new Set([
      region,
      settings.vm.region,
      ...members.otherRegions().map(({ digest }) => digest.from.region),
    ]);
    const vms: DirectoryVm[] = [...regions].flatMap((name) =>
      members.vmsForCallers(name)
    );
    vms.push({
      ip: settings.vm.ip,
      region: settings.vm.region,
      isReady: this.isReady,
      servesMs: isDraining ? endMonoMs - clock.monoMs() : 0,
    });
    return selectVms(vms, region).slice(0, MAX_ADDRESSES)
      .map(({ ip }) => `${ip}:${port}`);
  }

  #respond(request: IncomingMessage, response: ServerResponse): void {
    const text = URL_BASE + request.url;
    if (!URL.canParse(text)) {
      response.writeHead(400).end();
      return;
    }
    const url = new URL(text);
    if (url.pathname === READY_PATH) {
      response.writeHead(this.isReady ? 200 : 503).end();
    } else if (url.pathname === LOOKUP_PATH) {
      const addresses = this.addresses(decodeLookup(url).region);
      response.writeHead(addresses.length > 0 ? 200 : 503, {
        "content-type": "application/json",
      });
      response.end(encodeLookup(addresses, ANSWER_TTL_S));
    } else if (url.pathname === METRICS_PATH) {
      response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
      response.end(this.#context.metrics.renderPage());
    } else {
      response.writeHead(404).end();
    }
  }
}
