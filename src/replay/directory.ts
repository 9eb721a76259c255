/**
 * Finds the entry VMs for callers: queries the gateway's directory and caches the list until its `askAgainAtMs`.
 *
 * @module
 */

import got from "got";

/** An entry VM that a caller may contact first. Callers in its region, if it has one, prefer it. */
export interface Target {
  readonly url: string;
  readonly region?: string;
}

interface DirectoryAnswer {
  readonly vms: readonly {
    readonly id: string;
    readonly url: string;
    readonly weight?: number;
    readonly region?: string;
  }[];
  readonly askAgainAtMs: number;
}

interface CachedVms {
  readonly urls: readonly string[];
  readonly askAgainAtMs: number;
}

const REQUEST_TIMEOUT_MS = 1500;

/** Parses a comma-separated list of `REGION=URL` or `URL`. */
export function parseTargets(text: string): Target[] {
  return text.split(",").filter((part) => part !== "").map((part) => {
    const match = /^([^=/:]+)=(.*)$/.exec(part);
    return match ? { region: match[1], url: match[2] } : { url: part };
  });
}

/** Queries and caches the entry VMs for callers. */
export class DirectoryClient {
  readonly #targets: readonly Target[];
  readonly #cache = new Map<string, Promise<CachedVms>>();

  /** Creates a client that sends its directory queries to `targets`. */
  constructor(targets: readonly Target[]) {
    this.#targets = targets;
  }

  /** Returns base URLs for a caller of a workspace in a region, best first. */
  async findUrls(
    workspace: string,
    region: string,
    key: string,
  ): Promise<readonly string[]> {
    const cacheKey = `${workspace} ${region}`;
    const cached = await this.#cache.get(cacheKey);
    if (cached && cached.askAgainAtMs > Date.now()) return cached.urls;
    const query = this.#query(workspace, region, key);
    this.#cache.set(cacheKey, query);
    return (await query).urls;
  }

  /** Drops the cached list, after a VM on it broke a connection. */
  forget(workspace: string, region: string): void {
    this.#cache.delete(`${workspace} ${region}`);
  }

  async #query(
    workspace: string,
    region: string,
    key: string,
  ): Promise<CachedVms> {
    const ownRegion = this.#targets.filter((t) => t.region === region);
    const otherRegions = this.#targets.filter((t) => t.region !== region);
    const startUrls = [...ownRegion, ...otherRegions].map((target) =>
      target.url
    );
    for (const url of startUrls) {
      const answer = await queryVm(url, workspace, key);
      if (!answer) continue;
      // VMs of the caller's own region come first. Otherwise the order of the directory is kept.
      const vms = [...answer.vms].sort((a, b) =>
        Number(b.region === region) - Number(a.region === region)
      );
      const urls = vms.map((vm) => vm.url);
      if (urls.length > 0) return { urls, askAgainAtMs: answer.askAgainAtMs };
    }
    return { urls: startUrls, askAgainAtMs: 0 };
  }
}

async function queryVm(
  url: string,
  workspace: string,
  key: string,
): Promise<DirectoryAnswer | undefined> {
  try {
    return await got(`${url}/v1/directory`, {
      searchParams: { workspace },
      headers: { authorization: `Bearer ${key}` },
      timeout: { request: REQUEST_TIMEOUT_MS },
      retry: { limit: 0 },
    }).json<DirectoryAnswer>();
  } catch {
    return undefined;
  }
}
