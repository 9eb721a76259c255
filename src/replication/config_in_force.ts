/**
 * The configuration that is in force on this VM, and how it came here.
 *
 * @module
 */

import type { Entry } from "../adapters/mod.ts";
import type { Clock } from "../base/mod.ts";
import type { Log } from "../kernel/mod.ts";
import { decodeConfig } from "../platform/mod.ts";
import type { VmState } from "../region/mod.ts";
import type { GatewayConfig } from "../routing/mod.ts";

/** Who read a configuration from the store, and when. */
export interface ConfigOrigin {
  /** Id of the VM that read it. */
  readonly readBy: string;
  /** Time since then, as of the sending. */
  readonly readAgoMs: number;
}

/** A configuration as one VM hands it to another. */
export interface ConfigNews {
  /** The store's entry; API keys are hashed. */
  readonly value: string;
  readonly origin: ConfigOrigin;
}

/** Where this VM has an entry from. */
export interface ConfigSource {
  /** `store`, or the id of the VM that sent it. */
  readonly from: string;
  /** Absent if it comes from the store, or if the sender does not know. */
  readonly origin?: ConfigOrigin;
}

/** The source of what this VM reads itself. */
export const FROM_STORE: ConfigSource = { from: "store" };

/** Options of {@link ConfigInForce}. */
export interface ConfigInForceOptions {
  readonly vmId: string;
  readonly clock: Clock;
  readonly log: Log;
  /** What else a log line states of this VM's way to the store. */
  readonly describeStore: () => Readonly<Record<string, unknown>>;
  /** Called when a configuration has come in force. */
  readonly onInForce?: () => void;
}

/** An entry of the store, with its revision if it is the store's own. */
type OfferedEntry = Pick<Entry, "value"> & Partial<Entry>;

/** A configuration as it came. */
interface HeldConfig {
  readonly config: GatewayConfig;
  readonly value: string;
  readonly from: string;
  readonly readBy: string;
  /** When it was read from the store, on this VM's monotonic clock. */
  readonly readMonoMs: number;
  /** When it came into force here, on the same clock. */
  readonly heldSinceMonoMs: number;
}

/** Holds the configuration with the highest version that came. */
export class ConfigInForce {
  readonly #options: ConfigInForceOptions;
  #held: HeldConfig | undefined;
  /** Version of the store's entry in this VM's copy; `undefined` if there is none or it can't be read. */
  #storedVersion: number | undefined;
  /** Version of another VM's configuration that this VM can't read, so that it does not ask again. */
  #unreadableVersion: number | undefined;

  constructor(options: ConfigInForceOptions) {
    this.#options = options;
  }

  get config(): GatewayConfig | undefined {
    return this.#held?.config;
  }

  /** What a log line of a refusal states, if the version was known to be the newest one `agreedAgoMs` ago. */
  refusalFields(agreedAgoMs: number): Readonly<Record<string, unknown>> {
    const nowMs = this.#options.clock.monoMs();
    const sinceMs = this.#held?.heldSinceMonoMs;
    return {
      configVersion: this.config?.version,
      configHeldMs: sinceMs && Math.round(nowMs - sinceMs),
      configAgreedAgoMs: agreedAgoMs < Infinity
        ? Math.round(agreedAgoMs)
        : undefined,
    };
  }

  /** What other VMs have to be told, as the store does not tell them: a version that is newer than its entry. */
  get announced(): Pick<VmState, "configVersion"> {
    const configVersion = this.config?.version;
    const isStored = configVersion === undefined ||
      configVersion <= (this.#storedVersion ?? -Infinity);
    return isStored ? {} : { configVersion };
  }

  /** Whether another VM's version, as that one announced it, has to be asked for. */
  isNewer(version: unknown): boolean {
    return typeof version === "number" &&
      version > (this.config?.version ?? -Infinity) &&
      version !== this.#unreadableVersion;
  }

  /** The configuration in force, for another VM; `undefined` if there is none. */
  get news(): ConfigNews | undefined {
    return this.#held && { value: this.#held.value, origin: this.#heldOrigin! };
  }

  /** The version that the store holds, as far as this VM knows; `undefined` if none can be read. */
  get storedVersion(): number | undefined {
    return this.#storedVersion;
  }

  /** Who read the store's entry first, if that entry is in force. */
  get origin(): ConfigOrigin | undefined {
    const isStored = this.config?.version === this.#storedVersion;
    return isStored ? this.#heldOrigin : undefined;
  }

  get #heldOrigin(): ConfigOrigin | undefined {
    if (!this.#held) return undefined;
    const { readBy, readMonoMs } = this.#held;
    const readAgoMs = this.#options.clock.monoMs() - readMonoMs;
    return { readBy, readAgoMs: Math.round(readAgoMs) };
  }

  /** Applies the store's entry, as this VM read it or another one sent it. */
  applyStored(entry: Entry, source: ConfigSource): void {
    const before = this.#storedVersion;
    this.#storedVersion = undefined;
    const config = this.#decode(entry, source);
    if (!config) return;
    this.#storedVersion = config.version;
    this.#offer(config, entry, source, before !== config.version);
  }

  /** Applies the configuration in force on another VM, which announced it with `version`. */
  adopt({ value, origin }: ConfigNews, version: number, from: string): void {
    const source = { from, origin };
    const config = this.#decode({ value }, source);
    if (config) this.#offer(config, { value }, source, true);
    else this.#unreadableVersion = version;
  }

  /** Notes that the store holds no configuration any more. What is in force stays. */
  noteDeleted(): void {
    this.#storedVersion = undefined;
  }

  dump(): unknown {
    if (!this.#held) return undefined;
    const { config: { version }, from, readBy, readMonoMs } = this.#held;
    return {
      version,
      storedVersion: this.#storedVersion,
      from,
      readBy,
      readAgoMs: this.#options.clock.monoMs() - readMonoMs,
    };
  }

  #decode({ value, rev }: OfferedEntry, { from }: ConfigSource) {
    try {
      return decodeConfig(value);
    } catch (error) {
      this.#options.log.error("config unreadable", {
        rev,
        from,
        reason: String(error),
      });
      return undefined;
    }
  }

  /** Puts a configuration in force if it is newer: a late answer or another VM may bring an older one. */
  #offer(
    config: GatewayConfig,
    { value, rev }: OfferedEntry,
    { from, origin }: ConfigSource,
    isNews: boolean,
  ): void {
    const { vmId, clock, log, describeStore } = this.#options;
    const { version } = config;
    const inForce = this.#held?.config.version;
    if (inForce !== undefined && version <= inForce) {
      if (isNews) this.#logLeftOut(version, { value, rev }, from);
      return;
    }
    const { readBy, readAgoMs } = origin ?? { readBy: vmId, readAgoMs: 0 };
    const readMonoMs = clock.monoMs() - readAgoMs;
    const heldSinceMonoMs = clock.monoMs();
    this.#held = { config, value, from, readBy, readMonoMs, heldSinceMonoMs };
    this.#options.onInForce?.();
    log.info("config in force", {
      configVersion: version,
      rev,
      from,
      readBy,
      readAgoMs,
      ...describeStore(),
      routes: config.routes.length,
      workspaces: config.workspaces.count,
    });
  }

  #logLeftOut(
    version: number,
    { value, rev }: OfferedEntry,
    from: string,
  ): void {
    const held = this.#held!;
    const inForce = held.config.version;
    if (version === inForce && value === held.value) return;
    const event = version < inForce
      ? "older config left out"
      : "other config of one version left out";
    this.#options.log.warn(event, {
      configVersion: version,
      inForce,
      rev,
      from,
      ...this.#options.describeStore(),
    });
  }
}
