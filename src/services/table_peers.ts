/**
 * Exchanges table edits between VMs: pushes new edits through a tree, and pulls if a VM is behind.
 *
 * @module
 */

import { z } from "zod";
import type { Transport } from "../adapters/mod.ts";
import {
  type ImagePage,
  joinPages,
  type LoggedEdit,
  MAX_EDIT_CHARS,
  parseEdit,
  parsePage,
  pushTargets,
  splitImage,
  type TableImage,
  type TableLog,
} from "../agreement/mod.ts";
import type { VmInfo } from "./messages.ts";

/** Maximum number of hops of a push. The tree of a region of 1,400 VMs is six hops deep. */
const MAX_HOPS = 8;
/** Number of forwarded versions that are remembered, so that a push does not loop while VMs disagree on the members. */
const MAX_REMEMBERED_VERSIONS = 64;
const PULL_TIMEOUT_MS = 2000;
const PUSH_TIMEOUT_MS = 300;
/** Maximum number of images kept for VMs that are still pulling their pages. */
const MAX_CACHED_IMAGES = 2;

const pushMessage = z.object({
  edits: z.array(z.unknown()),
  root: z.string(),
  hops: z.number().int(),
});

const pullMessage = z.object({
  /** The version in force at the VM that pulls. */
  version: z.number().int(),
  /** Requests a further page of the image of this version. */
  image: z.object({ version: z.number().int(), page: z.number().int() })
    .optional(),
});

const pullAnswer = z.discriminatedUnion("type", [
  z.object({
    type: z.literal("edits"),
    edits: z.array(z.unknown()),
    /** The version in force at the VM that answers. */
    version: z.number().int(),
  }),
  z.object({ type: z.literal("page"), page: z.unknown() }),
  z.object({ type: z.literal("gone") }),
]);

/** The result of a pull. */
export type PullResult =
  | {
    readonly type: "edits";
    readonly edits: readonly LoggedEdit[];
    /** The version in force at the peer, or 0 for none. */
    readonly peerVersion: number;
  }
  | { readonly type: "image"; readonly image: TableImage };

/** Options of {@link TablePeers}. */
export interface TablePeersOptions {
  readonly vmId: string;
  readonly log: TableLog;
  readonly transport: Transport;
  readonly nowMs: () => number;
  /** The VMs of this region. */
  readonly regionVms: () => Promise<readonly VmInfo[]>;
  /** Receives edits that another VM pushed. */
  readonly onPush: (edits: readonly LoggedEdit[]) => void;
}

/** A push of one version through the VMs of a region. */
interface PushTree {
  readonly version: number;
  readonly root: string;
  readonly ids: readonly string[];
  /** `host:port` by id. */
  readonly addresses: ReadonlyMap<string, string>;
  readonly message: unknown;
}

/** Sends and answers the table's messages between VMs. */
export class TablePeers {
  readonly #options: TablePeersOptions;
  readonly #images = new Map<number, readonly ImagePage[]>();
  readonly #forwardedVersions = new Set<number>();
  #pushCount = 0;

  constructor(options: TablePeersOptions) {
    this.#options = options;
    options.transport.handle("table.push", (params) => this.#onPush(params));
    options.transport.handle("table.pull", (params) => this.#onPull(params));
  }

  /** The number of push messages sent, both for {@link TablePeers.push} and when forwarding. */
  get pushCount(): number {
    return this.#pushCount;
  }

  /** Pushes edits to the region, as the root of the tree. Edits too large for one message are left to be pulled. */
  async push(edits: readonly LoggedEdit[]): Promise<void> {
    if (JSON.stringify(edits).length > MAX_EDIT_CHARS) return;
    await this.#forward(edits, this.#options.vmId, 0);
  }

  /** Pulls what is newer than the version in force here from another VM. Returns `undefined` if that failed. */
  async pull(address: string): Promise<PullResult | undefined> {
    const { version } = this.#options.log.table;
    const first = await this.#callPull(address, { version });
    if (!first || first.type === "gone") return undefined;
    if (first.type === "edits") {
      const { version: peerVersion } = first;
      return { type: "edits", edits: first.edits.map(parseEdit), peerVersion };
    }
    const pages = [parsePage(first.page)];
    while (pages.length < pages[0].pages) {
      const image = { version: pages[0].version, page: pages.length };
      const next = await this.#callPull(address, { version, image });
      if (next?.type !== "page") return undefined;
      pages.push(parsePage(next.page));
    }
    const image = joinPages(pages);
    return image && { type: "image", image };
  }

  async #callPull(address: string, params: z.infer<typeof pullMessage>) {
    const { transport, nowMs } = this.#options;
    const deadlineMs = nowMs() + PULL_TIMEOUT_MS;
    const answer = await transport.call(
      address,
      "table.pull",
      params,
      deadlineMs,
    );
    return answer.isOk() ? pullAnswer.parse(answer.value) : undefined;
  }

  #onPush(params: unknown): Record<string, never> {
    const { edits, root, hops } = pushMessage.parse(params);
    const parsed = edits.map(parseEdit);
    this.#options.onPush(parsed);
    if (hops < MAX_HOPS) void this.#forward(parsed, root, hops);
    return {};
  }

  async #forward(
    edits: readonly LoggedEdit[],
    root: string,
    hops: number,
  ): Promise<void> {
    const version = edits.at(-1)?.version;
    if (version === undefined || this.#forwardedVersions.has(version)) return;
    this.#rememberForwarded(version);
    const vms = await this.#options.regionVms();
    const tree: PushTree = {
      version,
      root,
      ids: vms.map((vm) => vm.id),
      addresses: new Map(vms.map((vm) => [vm.id, vm.peerAddress])),
      message: { edits, root, hops: hops + 1 },
    };
    await this.#sendToChildren(tree, this.#options.vmId);
  }

  async #sendToChildren(tree: PushTree, parent: string): Promise<void> {
    const children = pushTargets(tree.version, tree.root, parent, tree.ids);
    await Promise.all(children.map((child) => this.#sendPush(tree, child)));
  }

  /**
   * Sends the push to a child. If the child does not answer, sends it to the child's children instead. Otherwise a dead
   * or frozen child that is not yet detected would leave all VMs below it without the edit until a heartbeat announces
   * the new version, a second or two later.
   */
  async #sendPush(tree: PushTree, child: string): Promise<void> {
    const { transport, nowMs } = this.#options;
    const address = tree.addresses.get(child)!;
    const deadlineMs = nowMs() + PUSH_TIMEOUT_MS;
    this.#pushCount++;
    const { message } = tree;
    const sent = await transport.call(
      address,
      "table.push",
      message,
      deadlineMs,
    );
    if (sent.isErr()) await this.#sendToChildren(tree, child);
  }

  #rememberForwarded(version: number): void {
    this.#forwardedVersions.add(version);
    if (this.#forwardedVersions.size <= MAX_REMEMBERED_VERSIONS) return;
    const [oldest] = this.#forwardedVersions;
    this.#forwardedVersions.delete(oldest);
  }

  #onPull(params: unknown): z.infer<typeof pullAnswer> {
    const { version, image } = pullMessage.parse(params);
    if (image) {
      const page = this.#images.get(image.version)?.[image.page];
      return page ? { type: "page", page } : { type: "gone" };
    }
    const edits = this.#editsSince(version);
    if (edits) {
      return { type: "edits", edits, version: this.#options.log.table.version };
    }
    return { type: "page", page: this.#imagePages()[0] };
  }

  /** Returns the edits after `version` that fit in one message, or `undefined` if the image is needed. */
  #editsSince(version: number): LoggedEdit[] | undefined {
    const edits = this.#options.log.editsSince(version);
    if (!edits) return undefined;
    const fitting: LoggedEdit[] = [];
    let chars = 0;
    for (const edit of edits) {
      chars += JSON.stringify(edit).length;
      if (chars > MAX_EDIT_CHARS && fitting.length > 0) break;
      fitting.push(edit);
    }
    return fitting;
  }

  #imagePages(): readonly ImagePage[] {
    const image = this.#options.log.image();
    const { version } = image.table;
    const cached = this.#images.get(version);
    if (cached) return cached;
    const pages = splitImage(image);
    this.#images.set(version, pages);
    if (this.#images.size > MAX_CACHED_IMAGES) {
      const [oldest] = this.#images.keys();
      this.#images.delete(oldest);
    }
    return pages;
  }
}
