/**
 * The entry VMs that a caller uses: asked from the gateway's directory, kept until it says to ask again.
 *
 * @module
 */

import got from "got";

/** An entry VM where a caller may start; one with a region serves the callers there first. */
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

interface Kept {
  readonly urls: readonly string[];
  readonly askAgainAtMs: number;
}

const ASK_TIMEOUT_MS = 1500;

/** Reads `REGION=URL` or `URL`, several parted by commas. */
export function parseTargets(text: string): Target[] {
  return text.split(",").filter((part) => part !== "").map((part) => {
    const match = /^([^=/:]+)=(.*)$/.exec(part);
    return match ? { region: match[1], url: match[2] } : { url: part };
  });
}

/** Finds VMs for callers. */
export class Directory {
  readonly #targets: readonly Target[];
  readonly #kept = new Map<string, Promise<Kept>>();

  /** Starts from these VMs. */
  constructor(targets: readonly Target[]) {
    this.#targets = targets;
  }

  /** Base URLs for a caller of this workspace in this region, best first. */
  async urls(
    workspace: string,
    region: string,
    key: string,
  ): Promise<readonly string[]> {
    const name = `${workspace} ${region}`;
    const kept = await this.#kept.get(name);
    if (kept && kept.askAgainAtMs > Date.now()) return kept.urls;
    const asked = this.#ask(workspace, region, key);
    this.#kept.set(name, asked);
    return (await asked).urls;
  }

  /** Forgets what was kept, after a VM on the list did not answer. */
  forget(workspace: string, region: string): void {
    this.#kept.delete(`${workspace} ${region}`);
  }

  async #ask(workspace: string, region: string, key: string): Promise<Kept> {
    const near = this.#targets.filter((t) => t.region === region);
    const rest = this.#targets.filter((t) => t.region !== region);
    const starts = [...near, ...rest].map((target) => target.url);
    for (const url of starts) {
      const answer = await askOne(url, workspace, key);
      if (!answer) continue;
      // VMs of the caller's own region come first; the directory's order holds among them.
      const vms = [...answer.vms].sort((a, b) =>
        Number(b.region === region) - Number(a.region === region)
      );
      const urls = vms.map((vm) => vm.url);
      if (urls.length > 0) return { urls, askAgainAtMs: answer.askAgainAtMs };
    }
    return { urls: starts, askAgainAtMs: 0 };
  }
}

async function askOne(
  url: string,
  workspace: string,
  key: string,
): Promise<DirectoryAnswer | undefined> {
  try {
    return await got(`${url}/v1/directory`, {
      searchParams: { workspace },
      headers: { authorization: `Bearer ${key}` },
      timeout: { request: ASK_TIMEOUT_MS },
      retry: { limit: 0 },
    }).json<DirectoryAnswer>();
  } catch {
    return undefined;
  }
}
