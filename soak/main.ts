/**
 * `npm run soak`: runs seeds and prints the promises that the gateway broke.
 *
 * @module
 */

import { defineCommand, runMain } from "citty";
import type { ExtraMode } from "./plan.ts";
import { playSeed, type SeedOutcome } from "./seed_process.ts";

const numberOption = (description: string, value: number) => ({
  type: "string" as const,
  description,
  default: String(value),
});

const soak = defineCommand({
  meta: {
    name: "soak",
    description:
      "Play random faults against real gateway processes and check the promises",
  },
  args: {
    first: numberOption("first seed", 1),
    seeds: numberOption("how many seeds", 5),
    jobs: numberOption("runs side by side", 2),
    vms: numberOption("VMs of a run", 6),
    runners: numberOption("upstreams of a run", 8),
    callers: numberOption("callers of a run", 24),
    seconds: numberOption("seconds with faults", 10),
    plant: {
      type: "boolean",
      description: "plant a second run of one request, which must be found",
      default: false,
    },
    planned: {
      type: "boolean",
      description: "only planned work: stops, SIGHUP, drains, configurations",
      default: false,
    },
    crashes: {
      type: "enum" as const,
      options: ["none", "beside", "only"],
      description:
        "requests that crash upstreams: beside other faults, or alone",
      default: "none",
    },
    parts: {
      type: "enum" as const,
      options: ["none", "beside", "only"],
      description:
        "requests with a part of their prompts that crashes upstreams: beside other faults, or alone",
      default: "none",
    },
    lapses: {
      type: "enum" as const,
      options: ["none", "beside", "only"],
      description:
        "lapsing entries, kills of a region, series of evacuations: beside other faults, or alone",
      default: "none",
    },
    notices: {
      type: "enum" as const,
      options: ["none", "beside", "only"],
      description:
        "upstreams that say in answers that they leave or want rest, a store that comes back from a copy: beside other faults, or alone",
      default: "none",
    },
    returns: {
      type: "enum" as const,
      options: ["none", "beside", "only"],
      description:
        "a store that comes back without the newest configuration, and VMs that start before it is written again: beside other faults, or alone",
      default: "none",
    },
    endings: {
      type: "enum" as const,
      options: ["none", "beside", "only"],
      description:
        "upstreams whose answers end with their connection, end early or end in a crash: beside other faults, or alone",
      default: "none",
    },
    versions: {
      type: "enum" as const,
      options: ["none", "beside", "only"],
      description:
        "upstreams of several software versions, some replaced, and callers that take streams up again: beside other faults, or alone",
      default: "none",
    },
    fleetKills: {
      type: "enum" as const,
      options: ["none", "beside", "only"],
      description:
        "kills of all VMs at once amid upstreams of several versions, which callers take streams up after: beside other faults, or alone",
      default: "none",
    },
    stops: {
      type: "enum" as const,
      options: ["none", "beside", "only"],
      description:
        "planned stops while upstreams keep callers waiting for longer than a stop takes: beside other faults, or alone",
      default: "none",
    },
    floods: {
      type: "enum" as const,
      options: ["none", "beside", "only"],
      description:
        "callers and upstreams that send without end, beside stops and kills of VMs: beside other faults, or alone",
      default: "none",
    },
    keep: {
      type: "string",
      description: "folder for the logs of runs that broke a promise",
      default: "soak-logs",
    },
  },
  async run({ args }) {
    const first = Number(args.first);
    const end = first + Number(args.seeds);
    let next = first;
    const counts: Record<SeedOutcome, number> = {
      kept: 0,
      broken: 0,
      failed: 0,
    };
    const runNextSeeds = async () => {
      while (next < end) {
        const outcome = await playSeed({
          seed: next++,
          vms: Number(args.vms),
          runners: Number(args.runners),
          callers: Number(args.callers),
          faultsMs: Number(args.seconds) * 1_000,
          plannedOnly: args.planned,
          crashes: args.crashes as ExtraMode,
          parts: args.parts as ExtraMode,
          lapses: args.lapses as ExtraMode,
          notices: args.notices as ExtraMode,
          returns: args.returns as ExtraMode,
          endings: args.endings as ExtraMode,
          versions: args.versions as ExtraMode,
          fleetKills: args.fleetKills as ExtraMode,
          stops: args.stops as ExtraMode,
          floods: args.floods as ExtraMode,
          logFolder: args.keep,
          plant: args.plant,
        });
        counts[outcome]++;
      }
    };
    await Promise.all(
      Array.from({ length: Number(args.jobs) }, () => runNextSeeds()),
    );
    const { broken, failed } = counts;
    process.stdout.write(
      `${end - first} seeds, ${broken} broke a promise, ${failed} failed\n`,
    );
    process.exit(broken + failed > 0 ? 1 : 0);
  },
});

await runMain(soak);
