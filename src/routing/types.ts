/**
 * Types for routing requests: routes, services, upstreams, limits and parts of prompts.
 *
 * @module
 */

/**
 * How often a request may run. An `idempotent` request may run any number of times, an `atMostOnce` request once for
 * each attempt of the caller. A `stream` counts as `atMostOnce` unless its route says that it can be resumed.
 */
export type RouteKind = "idempotent" | "atMostOnce" | "stream";

/** A service that a route sends requests to, with its weight. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** A row of the operators' route table, which says where requests are sent. */
export interface Route {
  readonly name: string;
  /** The host name in lower case. */
  readonly host: string;
  /** The prefix begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether a broken stream may be continued at another upstream. */
  readonly resumable: boolean;
  readonly targets: readonly RouteTarget[];
  /** The longest time that a caller waits, counted from the arrival of its request. */
  readonly timeoutMs: number;
  /** Latency objective of an answer or of a stream's first event. One that comes later does not count in full. */
  readonly objectiveMs: number;
  /** The longest allowed gap between two events of a stream; 0 means no limit. */
  readonly eventGapMs: number;
  /** Priority, where 0 is the most urgent. A workspace's own priority takes precedence. */
  readonly priority: number;
  /** Whether callers may send requests without a key. */
  readonly anonymous: boolean;
  /** Maximum number of upstreams that one attempt of a caller may be sent to. */
  readonly mostUpstreams: number;
  /** Regions that may serve the route; empty means all. */
  readonly homeRegions: readonly string[];
}

/** Properties of the engines that run a service. */
export interface EngineSpec {
  /** Maximum number of requests that run concurrently. */
  readonly slots: number;
  /** Memory in tokens, which running requests and cached prompts share. */
  readonly memoryTokens: number;
  /** Number of tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  /** Whether the memory of a running request can be moved to another engine. */
  readonly moves: boolean;
}

/** Configuration of a service, which upstreams run. */
export interface ServiceConfig {
  readonly name: string;
  /** Maximum number of connections that one upstream accepts from all VMs together. */
  readonly mostConnections: number;
  /** How long an upstream is cold after its start. */
  readonly coldMs: number;
  /** Requests per second that a cold upstream can handle, from all VMs together; 0 means no limit. */
  readonly coldPerS: number;
  readonly engine: EngineSpec | undefined;
}

/** Limits on what a caller may send and on how long it may take. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerWaitMs: number;
  readonly idleMs: number;
}

/** An upstream's own registration. */
export interface UpstreamRecord {
  readonly id: string;
  /** Identifies one start of one upstream. After a restart the same id has another key. */
  readonly key: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly slots: number;
  readonly state: "ready" | "draining";
  /**
   * Version of its software, "" if its entry names none. Answers of two versions differ, so a stream that one began goes
   * on only at the same one. Versions have no order.
   */
  readonly version: string;
  /** How long the upstream stays cold, counted from when the entry was read. */
  readonly coldLeftMs: number;
}

/** A part of a prompt. Several requests may share it. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Whether a request on this route may run more than once. */
export function isRepeatable(route: Route): boolean {
  return route.kind === "idempotent" ||
    (route.kind === "stream" && route.resumable);
}
