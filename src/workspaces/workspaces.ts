/**
 * The workspaces of one version of the configuration. They never change; a newer version has other ones.
 *
 * @module
 */

/** What a limit counts. */
export type QuotaUnit = "tokens" | "requests";

/** The most that a workspace may use, over all VMs together. */
export interface QuotaLimit {
  readonly unit: QuotaUnit;
  /** Units a second. */
  readonly unitsPerS: number;
  /** Units that may go at once. */
  readonly burstUnits: number;
  /** Tokens that a request counts as that names none. */
  readonly plainTokens: number;
}

/** A row of the operators' table: who may call, and with what. */
export interface WorkspaceRow {
  readonly name: string;
  /** SHA-256 digests of its keys, in hex. */
  readonly keyDigests: readonly string[];
  /** Goes before the route's; 0 is the most urgent. */
  readonly priority: number | undefined;
  /** Regions that may serve it; empty means all. */
  readonly homeRegions: readonly string[];
  /** Absent if it has no limit. */
  readonly quota: QuotaLimit | undefined;
}

/** See the module. A look-up costs the same with ten workspaces and with ten thousand. */
export class Workspaces {
  /** Whether callers need a key at all, on routes that ask for one. */
  readonly isKeyRequired: boolean;
  readonly #byName = new Map<string, WorkspaceRow>();
  readonly #byKeyDigest = new Map<string, WorkspaceRow>();

  /** `undefined` for a configuration without workspaces, which asks nobody for a key. */
  constructor(rows: readonly WorkspaceRow[] | undefined) {
    this.isKeyRequired = rows !== undefined;
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

  /** The workspace that holds the key with this digest. */
  findByKeyDigest(keyDigest: string): WorkspaceRow | undefined {
    return this.#byKeyDigest.get(keyDigest);
  }
}
