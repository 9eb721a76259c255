/**
 * Decodes the operators' configuration, as the platform stores it, into the rows by which requests are routed.
 *
 * @module
 */

import {
  type CallerLimits,
  type EngineSpec,
  GatewayConfig,
  type Route,
  type RouteKind,
  type ServiceConfig,
} from "../routing/mod.ts";
import { secretDigest } from "../base/mod.ts";
import type { Entry } from "../adapters/mod.ts";
import {
  type QuotaLimit,
  type WorkspaceRow,
  Workspaces,
} from "../workspaces/mod.ts";
import {
  CONFIG_KEY,
  numberField,
  parseRecord,
  RecordError,
  stringField,
} from "./keys.ts";

type Fields = Record<string, unknown>;

/** Limits that apply if the configuration omits them. The platform's initial configuration has the same values. */
const DEFAULT_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerWaitMs: 3_000,
  idleMs: 15_000,
};

function objectList(record: Fields, name: string): Fields[] {
  const list = record[name];
  if (!Array.isArray(list)) throw new RecordError(`${name} is not a list`);
  return list.map((item) => {
    if (typeof item !== "object" || item === null) {
      throw new RecordError(`${name} has items that are not objects`);
    }
    return item as Fields;
  });
}

function decodeRouteKind(route: Fields): RouteKind {
  const { kind } = route;
  if (kind === "safe") return "idempotent";
  if (kind === "streaming") return "stream";
  // An unknown kind is handled in the strictest way: the request may run at most once.
  return "atMostOnce";
}

function decodeTargets(route: Fields): Route["targets"] {
  if (route.split === undefined) {
    return [{ service: stringField(route, "service"), weight: 1 }];
  }
  return objectList(route, "split").map((part) => ({
    service: stringField(part, "service"),
    weight: numberField(part, "weight", 1),
  }));
}

function stringList(value: unknown): string[] {
  return Array.isArray(value)
    ? value.filter((item) => typeof item === "string")
    : [];
}

function decodeRoute(route: Fields): Route {
  return {
    name: stringField(route, "name"),
    host: stringField(route, "host").toLowerCase(),
    pathPrefix: stringField(route, "path_prefix"),
    kind: decodeRouteKind(route),
    resumable: route.resumable === true,
    targets: decodeTargets(route),
    timeoutMs: numberField(route, "timeout_ms", 10_000),
    objectiveMs: numberField(route, "slo_ms", 1_000),
    eventGapMs: numberField(route, "gap_target_ms", 0),
    priority: numberField(route, "priority", 5),
    mostUpstreams: Math.max(1, numberField(route, "max_attempts", 1)),
    anonymous: route.anonymous === true,
    homeRegions: stringList(route.home_regions),
  };
}

/** Field that replaces `api_keys` in a configuration with hashed keys. */
const KEY_DIGESTS_FIELD = "ibisgap_key_digests";

/**
 * Replaces the callers' keys in the configuration by their digests, so that the gateway neither keeps keys nor sends them
 * to other VMs. Other entries and a configuration without a list of workspaces are returned as they are. A configuration
 * that can't be read gets an empty value.
 */
export function hashApiKeys(entry: Entry): Entry {
  if (entry.key !== CONFIG_KEY) return entry;
  try {
    const record = parseRecord(entry.value);
    if (!Array.isArray(record.tenants)) return entry;
    const tenants = record.tenants.map((tenant: Fields) => {
      const { api_keys: keys, ...rest } = tenant;
      return {
        ...rest,
        [KEY_DIGESTS_FIELD]: stringList(keys).map(secretDigest),
      };
    });
    return { ...entry, value: JSON.stringify({ ...record, tenants }) };
  } catch {
    // Decoding the empty value logs that it is unreadable, without the text that may hold keys.
    return { ...entry, value: "" };
  }
}

/** Decodes a workspace's limit. A rate of 0, or no rate, means that there is no limit. */
function decodeQuota(tenant: Fields): QuotaLimit | undefined {
  const unitsPerS = numberField(tenant, "rate_per_s", 0);
  if (unitsPerS === 0) return undefined;
  return {
    unit: tenant.unit === "tokens" ? "tokens" : "requests",
    unitsPerS,
    burstUnits: numberField(tenant, "burst", 0),
    plainTokens: numberField(tenant, "plain_tokens", 0),
  };
}

function decodeWorkspace(tenant: Fields): WorkspaceRow {
  return {
    name: stringField(tenant, "name"),
    keyDigests: stringList(tenant[KEY_DIGESTS_FIELD]),
    priority: typeof tenant.priority === "number" ? tenant.priority : undefined,
    homeRegions: stringList(tenant.home_regions),
    quota: decodeQuota(tenant),
  };
}

function decodeWorkspaces(record: Fields): Workspaces {
  return new Workspaces(
    record.tenants === undefined || record.tenants === null
      ? undefined
      : objectList(record, "tenants").map(decodeWorkspace),
  );
}

function decodeEngine(service: Fields): EngineSpec | undefined {
  const { engine } = service;
  if (typeof engine !== "object" || engine === null) return undefined;
  return {
    slots: numberField(engine as Fields, "slots", 1),
    memoryTokens: numberField(engine as Fields, "kv_capacity", 0),
    tokensPerEvent: Math.max(1, numberField(engine as Fields, "stride", 1)),
    moves: (engine as Fields).moves === true,
  };
}

function decodeService(service: Fields): ServiceConfig {
  return {
    name: stringField(service, "name"),
    mostConnections: numberField(service, "max_conns", 64),
    coldMs: numberField(service, "cold_s", 0) * 1000,
    coldPerS: numberField(service, "cold_rate_s", 0),
    engine: decodeEngine(service),
  };
}

function decodeLimits(record: Fields): CallerLimits {
  const limits = (record.limits ?? {}) as Fields;
  return {
    headerBytes: numberField(
      limits,
      "max_header_bytes",
      DEFAULT_LIMITS.headerBytes,
    ),
    bodyBytes: numberField(limits, "max_body_bytes", DEFAULT_LIMITS.bodyBytes),
    headerWaitMs: numberField(
      limits,
      "header_timeout_ms",
      DEFAULT_LIMITS.headerWaitMs,
    ),
    idleMs: numberField(limits, "idle_timeout_ms", DEFAULT_LIMITS.idleMs),
  };
}

/** Decodes a configuration returned by {@link hashApiKeys}. Throws {@link RecordError}; unknown fields are ignored. */
export function decodeConfig(text: string): GatewayConfig {
  const record = parseRecord(text);
  return new GatewayConfig(
    numberField(record, "version"),
    objectList(record, "routes").map(decodeRoute),
    objectList(record, "services").map(decodeService),
    decodeLimits(record),
    decodeWorkspaces(record),
  );
}
