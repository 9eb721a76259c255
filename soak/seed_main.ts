/**
 * The process of one seed: plays it and prints the promises that the gateway broke. Its argument is a
 * {@link SeedOptions} as JSON.
 *
 * @module
 */

import { endWithParent } from "./end_with_parent.ts";
import type { Evidence } from "./judge.ts";
import { type RunResult, runSeed } from "./run.ts";
import { SEED_EXIT_CODES, type SeedOptions } from "./seed_process.ts";

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

/** Exit code of a process that runs out of work before its seed's end. */
const UNFINISHED_EXIT_CODE = 12;

/** Reports an error that nothing caught; the gateways end with this process. */
function fail(seed: number, error: Error): never {
  process.stdout.write(`seed=${seed} FAILED ${error.stack ?? error}\n`);
  process.exit(SEED_EXIT_CODES.failed);
}

async function play({ plant, ...options }: SeedOptions): Promise<void> {
  const result = await runSeed({
    ...options,
    changeEvidence: plant ? plantSecondRun : undefined,
  });
  process.stdout.write(formatResult(result) + "\n");
  // Sockets that were reset with unsent data may keep the process alive for minutes.
  process.exit(SEED_EXIT_CODES[result.breaches.length > 0 ? "broken" : "kept"]);
}

const options = JSON.parse(process.argv[2]) as SeedOptions;
process.exitCode = UNFINISHED_EXIT_CODE;
process.on("uncaughtException", (error) => fail(options.seed, error));
endWithParent();
void play(options);
