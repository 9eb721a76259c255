/**
 * Stand-ins for the systems around the gateway (upstreams, store, platform), for tests, benchmarks and the embedded mode.
 *
 * @module
 */

export * from "./answer.ts";
export * from "./batch.ts";
export * from "./config_fixtures.ts";
export * from "./engine.ts";
export * from "./faults.ts";
export * from "./orders.ts";
export * from "./plain.ts";
export * from "./records.ts";
export * from "./runner.ts";
export * from "./runner_answer.ts";
export * from "./kv_server.ts";
export * from "./memory_key_value.ts";
export * from "./platform.ts";
export * from "./platform_faults.ts";
export * from "./platform_store.ts";
