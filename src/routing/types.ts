/**
 * What requests are routed by.
 *
 * @module
 */

/**
 * What may be repeated. `idempotent` may run any number of times, `atMostOnce` once for each attempt of the caller;
 * a `stream` is `atMostOnce` unless its route says that it can be resumed.
 */
export type RouteKind = "idempotent" | "atMostOnce" | "stream";

/** One of the services that a route sends to, with its share. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** A row of the operators' table: which requests go where. */
export interface Route {
  readonly name: string;
  /** Lower case. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether a broken stream may be continued at another upstream. */
  readonly resumable: boolean;
  readonly targets: readonly RouteTarget[];
  /** The longest that a caller is kept, from the arrival of its request. */
  readonly timeoutMs: number;
  /** An answer, or a stream's first event, within this earns its full worth. */
  readonly objectiveMs: number;
  /** The longest pause between a stream's events; 0 if none is asked for. */
  readonly eventGapMs: number;
  /** 0 is the most urgent; a workspace's own goes before it. */
  readonly priority: number;
  /** Whether callers need no key. */
  readonly anonymous: boolean;
  /** Most upstreams that one attempt of a caller may be sent to. */
  readonly mostUpstreams: number;
  /** Regions that may serve it; empty means all. */
  readonly homeRegions: readonly string[];
}

/** What is known of an engine's make. */
export interface EngineSpec {
  /** Requests that run side by side. */
  readonly slots: number;
  /** Tokens that running requests and cached prompts share. */
  readonly memoryTokens: number;
  /** Tokens that one event of a stream holds. */
  readonly tokensPerEvent: number;
  /** Whether the memory of a running request can be moved to another engine. */
  readonly moves: boolean;
}

/** A service that upstreams run. */
export interface ServiceConfig {
  readonly name: string;
  /** Connections that one upstream takes from all VMs together. */
  readonly mostConnections: number;
  /** How long an upstream is cold after its start. */
  readonly coldMs: number;
  /** Requests a second that a cold upstream bears, from all VMs together; 0 means no limit. */
  readonly coldPerS: number;
  readonly engine: EngineSpec | undefined;
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerWaitMs: number;
  readonly idleMs: number;
}

/** An upstream as it registers itself. */
export interface UpstreamRecord {
  readonly id: string;
  /** Names one start of one upstream; a restart under the same id has another. */
  readonly key: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly slots: number;
  readonly state: "ready" | "draining";
  /** How long it stays cold, counted from when the entry was read. */
  readonly coldLeftMs: number;
}

/** A part of a prompt that requests share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Whether a request on this route may run more than once. */
export function isRepeatable(route: Route): boolean {
  return route.kind === "idempotent" ||
    (route.kind === "stream" && route.resumable);
}
