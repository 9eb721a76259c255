/**
 * The profiles of the two days that ship as traces, one per user: topology, demand and faults.
 *
 * @module
 */

import { type ServiceRow, serviceRow } from "../agreement/mod.ts";
import type { DayProfile, Demand } from "./generate.ts";
import type { TraceFault, TraceHeader } from "./trace.ts";

type Topology = TraceHeader["topology"];
type TraceService = Topology["services"][number];

const DURATION_MS = 30_000;

const QUESTIONS: Demand = {
  group: "question",
  service: "",
  kind: "chat",
  peakPerS: 4,
  workspace: "",
  bound: false,
  repeatable: true,
  promptTokens: 60,
  outputTokens: 20,
  prefixCount: 0,
  prefixTokens: 0,
  priority: 1,
  timeoutMs: 4000,
};

const DOCUMENTS: Demand = {
  ...QUESTIONS,
  group: "document",
  peakPerS: 1,
  bound: true,
  promptTokens: 800,
  outputTokens: 80,
  prefixCount: 3,
  prefixTokens: 2048,
  priority: 0,
  timeoutMs: 10_000,
};

const ENTRIES: Demand = {
  ...DOCUMENTS,
  group: "entry",
  kind: "plain",
  peakPerS: 2,
  repeatable: false,
  promptTokens: 200,
  outputTokens: 0,
  prefixCount: 0,
  prefixTokens: 0,
  timeoutMs: 6000,
};

function buildRegions(
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

function buildModelService(
  id: string,
  upstreams: Record<string, number>,
  objective: ServiceRow["objective"],
): TraceService {
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

function buildPlainService(
  id: string,
  upstreams: Record<string, number>,
): TraceService {
  return {
    ...buildModelService(id, upstreams, {
      latencyWeight: 1,
      costWeight: 0,
      awayWeight: 0,
    }),
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

function buildWorkspaces(
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

function buildUpstreamFault(
  atMs: number,
  upstream: string,
  ...faults: Record<string, unknown>[]
): TraceFault {
  return { type: "fault", atMs, target: "upstream", upstream, faults };
}

/** Creates the cooperative's day, where tail latency has the highest weight. */
export function createCooperativeDay(): DayProfile {
  const regions = buildRegions({ casablanca: 3, marrakech: 2, agadir: 2 }, 15);
  const demands = [
    { ...QUESTIONS, service: "route-plan", workspace: "drivers" },
    { ...DOCUMENTS, service: "route-plan", workspace: "dispatch" },
    { ...ENTRIES, service: "ledger", workspace: "clerks" },
  ];
  return {
    name: "cooperative",
    durationMs: DURATION_MS,
    topology: {
      regions,
      services: [
        buildModelService("route-plan", {
          casablanca: 5,
          marrakech: 4,
          agadir: 4,
        }, {
          latencyWeight: 1,
          costWeight: 0.1,
          awayWeight: 0.1,
        }),
        buildPlainService("ledger", { casablanca: 1, marrakech: 1, agadir: 1 }),
      ],
      workspaces: buildWorkspaces(regions, demands),
    },
    peakTimes: { casablanca: 0.3, marrakech: 0.5, agadir: 0.7 },
    holidayRegions: [],
    demands,
    bursts: [{
      group: "question",
      region: "marrakech",
      fromMs: 11_000,
      toMs: 14_000,
      factor: 5,
    }],
    faults: [
      buildUpstreamFault(3000, "route-plan-casablanca-0", {
        type: "cut",
        afterTokens: 9,
        times: 3,
      }),
      buildUpstreamFault(6000, "route-plan-agadir-0", { type: "dead" }),
      buildUpstreamFault(9000, "route-plan-agadir-0"),
      buildUpstreamFault(9500, "route-plan-marrakech-1", {
        type: "slow",
        factor: 10,
      }),
      buildUpstreamFault(12_500, "route-plan-marrakech-1"),
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
      buildUpstreamFault(20_000, "ledger-casablanca-0", {
        type: "cutAfterRun",
        times: 1,
      }),
      { type: "fault", atMs: 22_000, target: "store", action: "down" },
      { type: "fault", atMs: 25_000, target: "store", action: "up" },
    ],
  };
}

/** Creates the directorate's day, where cost and the share sent to other regions weigh most. Salalah has a holiday. */
export function createDirectorateDay(): DayProfile {
  const regions = buildRegions({ muscat: 2, salalah: 2, sohar: 2 }, 15);
  const demands = [
    { ...QUESTIONS, service: "dossier", workspace: "archivists" },
    { ...DOCUMENTS, service: "dossier", workspace: "restorers" },
    { ...ENTRIES, service: "portal", workspace: "families" },
  ];
  return {
    name: "directorate",
    durationMs: DURATION_MS,
    topology: {
      regions,
      services: [
        buildModelService("dossier", { muscat: 3, salalah: 2, sohar: 3 }, {
          latencyWeight: 0.3,
          costWeight: 1,
          awayWeight: 1,
        }),
        buildPlainService("portal", { muscat: 1, salalah: 1, sohar: 1 }),
      ],
      workspaces: buildWorkspaces(regions, demands),
    },
    peakTimes: { muscat: 0.35, salalah: 0.55, sohar: 0.6 },
    holidayRegions: ["salalah"],
    demands,
    bursts: [{
      group: "document",
      region: "sohar",
      fromMs: 15_000,
      toMs: 18_000,
      factor: 3,
    }],
    faults: [
      buildUpstreamFault(2500, "dossier-muscat-0", {
        type: "crossed",
        times: 2,
      }),
      buildUpstreamFault(4500, "dossier-sohar-1", { type: "refuse", times: 4 }),
      buildUpstreamFault(5000, "portal-muscat-0", {
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

/** Functions that create the days that ship, by name. */
export const dayFactories: Readonly<Record<string, () => DayProfile>> = {
  cooperative: createCooperativeDay,
  directorate: createDirectorateDay,
};
