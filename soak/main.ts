/**
 * `npm run soak`: runs seeds and prints the promises that the gateway broke.
 *
 * @module
 */

import { defineCommand, runMain } from "citty";
import type { Evidence } from "./judge.ts";
import type { ExtraMode } from "./plan.ts";
import { type RunResult, runSeed } from "./run.ts";

const numberOption = (description: string, value: number) => ({
  type: "string" as const,
  description,
  default: String(value),
});

function formatResult(
  { seed, attempts, served, faults, breaches }: RunResult,
): string {
  const lines = breaches.slice(0, 12).map(({ rule, attempt, what }) =>
    `  ${rule} ${attempt} ${what}`
  );
  const verdict = breaches.length === 0 ? "kept" : `BROKE ${breaches.length}`;
  return [
    `seed=${seed} faults=${faults} attempts=${attempts} served=${served} ${verdict}`,
    ...lines,
  ].join("\n");
}

/** Changes the evidence so that one request that ran once appears to have run twice. */
function plantSecondRun(evidence: Evidence): Evidence {
  const served = new Set(
    evidence.attempts.filter(({ kind, status }) =>
      kind === "once" && status === 200
    ).map(({ id }) => id),
  );
  const ran = evidence.arrivals.filter(({ attemptId }) =>
    served.has(attemptId)
  );
  return { ...evidence, arrivals: [...evidence.arrivals, ...ran.slice(0, 1)] };
}

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
    lapses: {
      type: "enum" as const,
      options: ["none", "beside", "only"],
      description:
        "lapsing entries, kills of a region, series of evacuations: beside other faults, or alone",
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
    let broken = 0;
    const runNextSeeds = async () => {
      while (next < end) {
        const seed = next++;
        const result = await runSeed({
          seed,
          vms: Number(args.vms),
          runners: Number(args.runners),
          callers: Number(args.callers),
          faultsMs: Number(args.seconds) * 1_000,
          plannedOnly: args.planned,
          crashes: args.crashes as ExtraMode,
          lapses: args.lapses as ExtraMode,
          logFolder: args.keep,
          changeEvidence: args.plant ? plantSecondRun : undefined,
        });
        if (result.breaches.length > 0) broken++;
        process.stdout.write(formatResult(result) + "\n");
      }
    };
    await Promise.all(
      Array.from({ length: Number(args.jobs) }, () => runNextSeeds()),
    );
    process.stdout.write(`${end - first} seeds, ${broken} broke a promise\n`);
    // Sockets that were reset with unsent data may keep the process alive for minutes.
    process.exit(broken > 0 ? 1 : 0);
  },
});

await runMain(soak);
