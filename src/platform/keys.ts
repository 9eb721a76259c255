/**
 * Keys of the platform's store, and the encoding of what stands under them.
 *
 * @module
 */

/** What operators write: the configuration and the evacuations. */
export const OPERATOR_PREFIX = "op/";
/** The newest configuration. */
export const CONFIG_KEY = "op/config";
/** Where upstreams register themselves. */
export const UPSTREAM_PREFIX = "servers/";
/** Where the VMs find each other; the layout below it is our own. */
export const VM_PREFIX = "ibisgap/vms/";

/** Requests under which upstreams ended, by their digests; what stands there is our own. */
export const SUSPECT_PREFIX = "ibisgap/suspects/";
/** Who runs such a request once more, so that nobody else does. */
export const TRIAL_PREFIX = "ibisgap/trials/";

const EVACUATE_PREFIX = "op/evacuate/";

/** The failure domain that a key says is evacuated, if it is such a key. */
export function decodeEvacuationKey(key: string): string | undefined {
  return key.startsWith(EVACUATE_PREFIX)
    ? key.slice(EVACUATE_PREFIX.length)
    : undefined;
}

/** The id of the upstream that registers itself under a key. */
export function decodeUpstreamId(key: string): string {
  return key.slice(UPSTREAM_PREFIX.length);
}

/** A record that could not be read: what was wrong with it. */
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

/** A field that must be a string that is not empty. Throws {@link RecordError}. */
export function stringField(
  record: Record<string, unknown>,
  name: string,
): string {
  const value = record[name];
  if (typeof value !== "string" || value === "") {
    throw new RecordError(`${name} is not a text`);
  }
  return value;
}

/** A field that must be a number, 0 or more. Throws {@link RecordError}. */
export function numberField(
  record: Record<string, unknown>,
  name: string,
  fallback?: number,
): number {
  const value = record[name] ?? fallback;
  if (typeof value !== "number" || !Number.isFinite(value) || value < 0) {
    throw new RecordError(`${name} is not a number`);
  }
  return value;
}

/** The environment variable that names the settings file. */
export const SETTINGS_VARIABLE = "IBISGAP_NODE_FILE";
