/**
 * The workspaces of one version of the configuration. They never change; a newer version has its own objects.
 *
 * @module
 */

/** The unit that a limit counts. */
export type QuotaUnit = "tokens" | "requests";

/** The maximum that a workspace may use over all VMs together. */
export interface QuotaLimit {
  readonly unit: QuotaUnit;
  /** Maximum rate, in units a second. */
  readonly unitsPerS: number;
  /** Maximum units that may be used at once. */
  readonly burstUnits: number;
  /** Tokens counted for a request that states no number of tokens. */
  readonly plainTokens: number;
}

/** A workspace as operators configure it. */
export interface WorkspaceRow {
  readonly name: string;
  /** SHA-256 digests of its keys, in hex. */
  readonly keyDigests: readonly string[];
  /** Overrides the priority of the route; 0 is the most urgent. */
  readonly priority: number | undefined;
  /** Regions that may serve its requests; empty means all. */
  readonly homeRegions: readonly string[];
  /** `undefined` if it has no limit. */
  readonly quota: QuotaLimit | undefined;
}

/** Finds workspaces by name and by key digest. A lookup costs the same with ten workspaces and with ten thousand. */
export class Workspaces {
  /** Whether callers need a key on routes that are not anonymous. */
  readonly isKeyRequired: boolean;
  /** Whether some workspaces have a limit, so that callers compete for capacity by rule. */
  readonly hasLimits: boolean;
  readonly #byName = new Map<string, WorkspaceRow>();
  readonly #byKeyDigest = new Map<string, WorkspaceRow>();

  /** `rows` is `undefined` for a configuration without workspaces, which requires no keys. */
  constructor(rows: readonly WorkspaceRow[] | undefined) {
    this.isKeyRequired = rows !== undefined;
    this.hasLimits = rows?.some(({ quota }) => quota !== undefined) ?? false;
    for (const row of rows ?? []) {
      this.#byName.set(row.name, row);
      for (const digest of row.keyDigests) this.#byKeyDigest.set(digest, row);
    }
  }

  get count(): number {
    return this.#byName.size;
  }

  get(name: string): WorkspaceRow | undefined {
    return this.#byName.get(name);
  }

  /** The workspace whose key has this digest. */
  findByKeyDigest(keyDigest: string): WorkspaceRow | undefined {
    return this.#byKeyDigest.get(keyDigest);
  }
}
