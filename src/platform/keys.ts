/**
 * Keys of the platform's store, and helpers to decode the records stored under them.
 *
 * @module
 */

/** Prefix of the keys that operators write: the configuration and the evacuations. */
export const OPERATOR_PREFIX = "op/";
/** Key of the newest configuration. */
export const CONFIG_KEY = "op/config";
/** Prefix of the keys under which upstreams register themselves. */
export const UPSTREAM_PREFIX = "servers/";
/** Prefix of the entries by which VMs find each other; the gateway defines the layout below it. */
export const VM_PREFIX = "ibisgap/vms/";

/** Prefix of the entries for requests that crashed upstreams, by their digests; the gateway defines their format. */
export const SUSPECT_PREFIX = "ibisgap/suspects/";
/** Prefix of the entries that name the VM which retries a suspect request, so that no other VM does. */
export const TRIAL_PREFIX = "ibisgap/trials/";

/** Prefix of the entries that say which versions began streams, one a process; the gateway defines their format. */
export const ORIGIN_PREFIX = "ibisgap/origins/";
/** Key of the entry that names the versions lately in service; the gateway defines its format. */
export const VERSIONS_KEY = "ibisgap/versions";

const EVACUATE_PREFIX = "op/evacuate/";

/** The failure domain that a key marks as evacuated; `undefined` if it is another kind of key. */
export function decodeEvacuationKey(key: string): string | undefined {
  return key.startsWith(EVACUATE_PREFIX)
    ? key.slice(EVACUATE_PREFIX.length)
    : undefined;
}

/** The id of the upstream that registers itself under this key. */
export function decodeUpstreamId(key: string): string {
  return key.slice(UPSTREAM_PREFIX.length);
}

/** Thrown for a record that can't be decoded; the message says what is wrong. */
export class RecordError extends Error {}

/** Parses a stored JSON object. Throws {@link RecordError}. */
export function parseRecord(text: string): Record<string, unknown> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    throw new RecordError("not JSON");
  }
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    throw new RecordError("not an object");
  }
  return value as Record<string, unknown>;
}

/** Reads a field that must be a non-empty string. Throws {@link RecordError}. */
export function stringField(
  record: Record<string, unknown>,
  name: string,
): string {
  const value = record[name];
  if (typeof value !== "string" || value === "") {
    throw new RecordError(`${name} is not a non-empty string`);
  }
  return value;
}

/** Reads a field that must be a number, 0 or more. Throws {@link RecordError}. */
export function numberField(
  record: Record<string, unknown>,
  name: string,
  fallback?: number,
): number {
  const value = record[name] ?? fallback;
  if (typeof value !== "number" || !Number.isFinite(value) || value < 0) {
    throw new RecordError(`${name} is not a number of 0 or more`);
  }
  return value;
}

/** The environment variable that names the settings file. */
export const SETTINGS_VARIABLE = "IBISGAP_NODE_FILE";
