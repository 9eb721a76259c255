import type { ExecutionContext } from "ava";
import { describe, itAlone as it } from "../src/base/describe.ts";
import { Runner } from "../src/standins/mod.ts";
import { driversKey, type EdgeBench, openEdge, upstreamRow } from "./fakes.ts";

const RUNNERS = 6;
const ATTEMPTS = 10;
/** Upstreams that one request may end: three, and three more while the VMs tell each other. */
const MOST_ENDS = 6;
const PAUSE_MS = 150;
/** Longer than an upstream of these is away. */
const LATE_MS = 300;

interface Bench extends EdgeBench {
  readonly runners: readonly Runner[];
}

async function open(t: ExecutionContext): Promise<Bench> {
  const runners = await Promise.all(
    Array.from({ length: RUNNERS }, (_, at) => Runner.open(`r${at}`)),
  );
  const rows = runners.flatMap(({ address }, at) => [
    upstreamRow(`n${at}`, "notes", `http://${address}`),
    upstreamRow(`p${at}`, "plan", `http://${address}`),
  ]);
  const edge = await openEdge(rows);
  t.teardown(async () => {
    await edge.close();
    for (const runner of runners) await runner.close();
  });
  return { ...edge, runners };
}

/** Sends a request; one that got no answer has status 0. */
async function post(
  { url }: Bench,
  path: string,
  body: string,
): Promise<number> {
  try {
    const response = await fetch(url + path, {
      method: "POST",
      headers: { authorization: `Bearer ${driversKey}` },
      body,
    });
    await response.text();
    return response.status;
  } catch {
    return 0;
  }
}

/** Holds this process up after the runner's end, until it is back: only then the broken connection is seen. */
function holdUpAfterEnd(runner: Runner): void {
  const end = runner.end.bind(runner);
  runner.end = () => {
    setImmediate(() => {
      end();
      const untilMs = performance.now() + LATE_MS;
      while (performance.now() < untilMs);
    });
  };
}

const FATAL_CALL = "ends whatever runs it";
const FATAL_CHAT = JSON.stringify({
  model: "plan",
  stream: true,
  messages: [{ role: "user", content: FATAL_CALL }],
});

describe("edge", () => {
  describe("a request that ends every upstream that runs it", () => {
    const cases = [
      ["a plain call", "/services/notes/x", FATAL_CALL],
      ["a chat", "/v1/chat/completions", FATAL_CHAT],
    ] as const;
    const paces = [
      ["", (_: Runner) => {}],
      [", in a process that is late", holdUpAfterEnd],
    ] as const;
    for (const [kind, path, body] of cases) {
      for (const [pace, prepare] of paces) {
        it(`ends no more upstreams than allowed, and is refused then: ${kind}${pace}`, async (t) => {
          const bench = await open(t);
          for (const runner of bench.runners) {
            runner.isFatal = (text) => text.includes(FATAL_CALL);
            prepare(runner);
          }
          let status = 0;
          for (let at = 0; at < ATTEMPTS; at++) {
            status = await post(bench, path, body);
            await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
          }
          const ends = bench.runners.reduce((sum, one) => sum + one.ends, 0);
          t.true(ends <= MOST_ENDS, `${ends} upstreams ended`);
          t.is(status, 503);
          t.is(await post(bench, "/services/notes/x", "another"), 200);
        });
      }
    }
  });
});
