/**
 * The two users' days that ship as traces: their topologies, demands and a set of faults each.
 *
 * @module
 */

import { type ServiceRow, serviceRow } from "../agreement/mod.ts";
import type { Day, Demand } from "./generate.ts";
import type { TraceFault, TraceHeader } from "./trace.ts";

type Topology = TraceHeader["topology"];
type Service = Topology["services"][number];

const DURATION_MS = 30_000;

const questions: Demand = {
  group: "question",
  service: "",
  kind: "chat",
  peakPerS: 4,
  workspace: "",
  bound: false,
  repeatable: true,
  promptTokens: 60,
  outputTokens: 20,
  prefixes: 0,
  prefixTokens: 0,
  priority: 1,
  withinMs: 4000,
};

const documents: Demand = {
  ...questions,
  group: "document",
  peakPerS: 1,
  bound: true,
  promptTokens: 800,
  outputTokens: 80,
  prefixes: 3,
  prefixTokens: 2048,
  priority: 0,
  withinMs: 10_000,
};

const entries: Demand = {
  ...documents,
  group: "entry",
  kind: "plain",
  peakPerS: 2,
  repeatable: false,
  promptTokens: 200,
  outputTokens: 0,
  prefixes: 0,
  prefixTokens: 0,
  withinMs: 6000,
};

function regionsOf(
  vms: Readonly<Record<string, number>>,
  linkMs: number,
): Topology["regions"] {
  const ids = Object.keys(vms);
  return ids.map((id) => ({
    id,
    vms: vms[id],
    linkMs: Object.fromEntries(
      ids.filter((other) => other !== id).map((other) => [other, linkMs]),
    ),
  }));
}

function model(
  id: string,
  upstreams: Record<string, number>,
  objective: ServiceRow["objective"],
): Service {
  const ids = Object.keys(upstreams);
  return {
    row: serviceRow.parse({ kind: "service", id, type: "model", objective }),
    upstreams,
    slots: 6,
    prefillTokensPerS: 6000,
    decodeTokensPerS: 400,
    streamTokensPerS: 60,
    cacheTokens: 20_000,
    resumes: true,
    mayGoTo: Object.fromEntries(
      ids.map((region) => [region, ids.filter((other) => other !== region)]),
    ),
  };
}

function plain(id: string, upstreams: Record<string, number>): Service {
  return {
    ...model(id, upstreams, { latencyWeight: 1, costWeight: 0, awayWeight: 0 }),
    row: serviceRow.parse({
      kind: "service",
      id,
      type: "plain",
      atMostOnce: true,
    }),
    slots: 32,
    resumes: false,
    mayGoTo: {},
  };
}

function workspacesOf(
  regions: Topology["regions"],
  demands: readonly Demand[],
): Topology["workspaces"] {
  return regions.flatMap(({ id: home }) =>
    demands.map(({ workspace, bound }) => ({
      id: `${workspace}-${home}`,
      home,
      bound,
      weight: 1,
    }))
  );
}

function upstreamFault(
  atMs: number,
  upstream: string,
  ...faults: Record<string, unknown>[]
): TraceFault {
  return { type: "fault", atMs, target: "upstream", upstream, faults };
}

/** The cooperative's day: tail latency weighs most. */
export function cooperativeDay(): Day {
  const regions = regionsOf({ casablanca: 3, marrakech: 2, agadir: 2 }, 15);
  const demands = [
    { ...questions, service: "route-plan", workspace: "drivers" },
    { ...documents, service: "route-plan", workspace: "dispatch" },
    { ...entries, service: "ledger", workspace: "clerks" },
  ];
  return {
    name: "cooperative",
    durationMs: DURATION_MS,
    topology: {
      regions,
      services: [
        model("route-plan", { casablanca: 5, marrakech: 4, agadir: 4 }, {
          latencyWeight: 1,
          costWeight: 0.1,
          awayWeight: 0.1,
        }),
        plain("ledger", { casablanca: 1, marrakech: 1, agadir: 1 }),
      ],
      workspaces: workspacesOf(regions, demands),
    },
    peakAt: { casablanca: 0.3, marrakech: 0.5, agadir: 0.7 },
    holiday: [],
    demands,
    bursts: [{
      group: "question",
      region: "marrakech",
      fromMs: 11_000,
      toMs: 14_000,
      factor: 5,
    }],
    faults: [
      upstreamFault(3000, "route-plan-casablanca-0", {
        type: "cut",
        afterTokens: 9,
        times: 3,
      }),
      upstreamFault(6000, "route-plan-agadir-0", { type: "dead" }),
      upstreamFault(9000, "route-plan-agadir-0"),
      upstreamFault(9500, "route-plan-marrakech-1", {
        type: "slow",
        factor: 10,
      }),
      upstreamFault(12_500, "route-plan-marrakech-1"),
      {
        type: "fault",
        atMs: 15_000,
        target: "vm",
        vm: "marrakech-1",
        action: "kill",
      },
      {
        type: "fault",
        atMs: 18_000,
        target: "vm",
        vm: "marrakech-1",
        action: "start",
      },
      upstreamFault(20_000, "ledger-casablanca-0", {
        type: "cutAfterRun",
        times: 1,
      }),
      { type: "fault", atMs: 22_000, target: "store", action: "down" },
      { type: "fault", atMs: 25_000, target: "store", action: "up" },
    ],
  };
}

/** The directorate's day: cost and the share sent away weigh most; Salalah has a holiday. */
export function directorateDay(): Day {
  const regions = regionsOf({ muscat: 2, salalah: 2, sohar: 2 }, 15);
  const demands = [
    { ...questions, service: "dossier", workspace: "archivists" },
    { ...documents, service: "dossier", workspace: "restorers" },
    { ...entries, service: "portal", workspace: "families" },
  ];
  return {
    name: "directorate",
    durationMs: DURATION_MS,
    topology: {
      regions,
      services: [
        model("dossier", { muscat: 3, salalah: 2, sohar: 3 }, {
          latencyWeight: 0.3,
          costWeight: 1,
          awayWeight: 1,
        }),
        plain("portal", { muscat: 1, salalah: 1, sohar: 1 }),
      ],
      workspaces: workspacesOf(regions, demands),
    },
    peakAt: { muscat: 0.35, salalah: 0.55, sohar: 0.6 },
    holiday: ["salalah"],
    demands,
    bursts: [{
      group: "document",
      region: "sohar",
      fromMs: 15_000,
      toMs: 18_000,
      factor: 3,
    }],
    faults: [
      upstreamFault(2500, "dossier-muscat-0", {
        type: "crossed",
        times: 2,
      }),
      upstreamFault(4500, "dossier-sohar-1", { type: "refuse", times: 4 }),
      upstreamFault(5000, "portal-muscat-0", {
        type: "failAfterRun",
        times: 1,
      }),
      {
        type: "fault",
        atMs: 8000,
        target: "link",
        region: "sohar",
        action: "cut",
      },
      {
        type: "fault",
        atMs: 13_000,
        target: "link",
        region: "sohar",
        action: "heal",
      },
      {
        type: "fault",
        atMs: 16_000,
        target: "vm",
        vm: "muscat-1",
        action: "stop",
      },
      {
        type: "fault",
        atMs: 20_000,
        target: "vm",
        vm: "muscat-1",
        action: "start",
      },
      {
        type: "fault",
        atMs: 21_000,
        target: "vm",
        vm: "salalah-1",
        action: "pause",
      },
      {
        type: "fault",
        atMs: 24_000,
        target: "vm",
        vm: "salalah-1",
        action: "resume",
      },
    ],
  };
}

/** The days that ship, by name. */
export const days: Readonly<Record<string, () => Day>> = {
  cooperative: cooperativeDay,
  directorate: directorateDay,
};
