import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type { ExecutionContext } from "ava";
import { describe, it } from "../src/base/describe.ts";
import {
  openPlainService,
  type PlainFault,
  type PlainService,
} from "../src/standins/mod.ts";
import { DRIVERS_KEY, openEdge, type TestEdge, upstreamRow } from "./fakes.ts";

interface Bench extends TestEdge {
  readonly services: readonly PlainService[];
}

async function openBench(
  t: ExecutionContext,
  count: number,
  runMs = 1,
): Promise<Bench> {
  const services = await Promise.all(
    Array.from({ length: count }, () => openPlainService({ runMs })),
  );
  const rows = services.flatMap((service, i) => [
    upstreamRow(`l${i}`, "ledger", service.url),
    upstreamRow(`n${i}`, "notes", service.url),
  ]);
  const edge = await openEdge(rows);
  t.teardown(async () => {
    await edge.close();
    for (const service of services) await service.close();
  });
  return { ...edge, services };
}

interface Answer {
  readonly httpStatus: number;
  readonly code?: number;
  readonly ran?: string;
  readonly headers: Headers;
  readonly text: string;
}

async function post(
  bench: Bench,
  path: string,
  idempotencyKey?: string,
  headers: Record<string, string> = {},
): Promise<Answer> {
  const response = await fetch(bench.url + path, {
    method: "POST",
    headers: {
      authorization: `Bearer ${DRIVERS_KEY}`,
      ...(idempotencyKey ? { "idempotency-key": idempotencyKey } : {}),
      ...headers,
    },
    body: "flour to Imilchil",
  });
  const text = await response.text();
  const error = response.ok ? undefined : JSON.parse(text).error;
  return {
    httpStatus: response.status,
    code: error?.code,
    ran: error?.ran,
    headers: response.headers,
    text,
  };
}

function countRuns(bench: Bench): number {
  return bench.services.flatMap((service) => service.records()).filter((
    record,
  ) => record.startedAtMs).length;
}

describe("edge", () => {
  describe("a call that may not be repeated", () => {
    it("needs an Idempotency-Key", async (t) => {
      const bench = await openBench(t, 1);
      const answer = await post(bench, "/services/ledger/departures");
      t.deepEqual([
        answer.httpStatus,
        answer.code,
        answer.ran,
        countRuns(bench),
      ], [
        400,
        2009,
        "no",
        0,
      ]);
    });

    it("runs once, and a second request with its key gets the first one's answer", async (t) => {
      const bench = await openBench(t, 2);
      const first = await post(bench, "/services/ledger/departures", "d1");
      const second = await post(bench, "/services/ledger/departures", "d1");
      t.is(first.httpStatus, 200, first.text);
      t.is(second.text, first.text);
      t.is(second.headers.get("x-ibisgap-repeated"), "true");
      t.is(countRuns(bench), 1);
    });

    it("is told to be running while the first arrival runs", async (t) => {
      const bench = await openBench(t, 1, 200);
      const first = post(bench, "/services/ledger/departures", "d2");
      while (bench.services[0].records().length === 0) await sleep(2);
      const second = await post(bench, "/services/ledger/departures", "d2");
      t.deepEqual([second.httpStatus, second.code, second.ran], [
        409,
        3008,
        "yes",
      ]);
      t.truthy(second.headers.get("retry-after"));
      t.is((await first).httpStatus, 200);
      t.is(countRuns(bench), 1);
    });

    // Only the upstream knows what it did, because the connection broke after the call was sent. The caller must get
    // "unknown", now and on each retry, and no second upstream may be tried.
    const lostAnswerCases: { fault: PlainFault; runs: number }[] = [
      { fault: { type: "cutAfterRun", times: 1 }, runs: 1 },
      { fault: { type: "cutBeforeRun", times: 1 }, runs: 0 },
    ];
    for (const { fault, runs: expectedRuns } of lostAnswerCases) {
      it(`is never sent again after a lost answer: ${fault.type}`, async (t) => {
        const bench = await openBench(t, 2);
        bench.services[0].faults.add(fault);
        const first = await post(bench, "/services/ledger/departures", "d3");
        t.deepEqual([first.httpStatus, first.code, first.ran], [
          502,
          4003,
          "unknown",
        ]);
        const second = await post(bench, "/services/ledger/departures", "d3");
        t.deepEqual([second.httpStatus, second.code, second.ran], [
          409,
          4006,
          "unknown",
        ]);
        t.is(countRuns(bench), expectedRuns);
      });
    }

    // The first upstream itself says that it did not run the call, or nothing listens at its address, so another one
    // may run it under the same claim. If all refuse, "not run" is true and the key can be used again.
    it("goes to another upstream after a refusal, or is answered as not run", async (t) => {
      const bench = await openBench(t, 2);
      bench.services[0].faults.add({ type: "refuse" });
      t.is(
        (await post(bench, "/services/ledger/departures", "d4")).httpStatus,
        200,
      );
      bench.services[1].faults.add({ type: "refuse" });
      const refused = await post(bench, "/services/ledger/departures", "d5");
      t.deepEqual([refused.code, refused.ran, countRuns(bench)], [
        3005,
        "no",
        1,
      ]);
      for (const service of bench.services) service.faults.clear();
      t.is(
        (await post(bench, "/services/ledger/departures", "d5")).httpStatus,
        200,
      );
      t.is(countRuns(bench), 2);
    });

    it("goes to another upstream where nobody listens, or is told not run", async (t) => {
      const bench = await openBench(t, 2);
      await bench.services[0].close();
      t.is(
        (await post(bench, "/services/ledger/departures", "d4")).httpStatus,
        200,
      );
      await bench.services[1].close();
      const refused = await post(bench, "/services/ledger/departures", "d5");
      t.deepEqual([refused.code, refused.ran, countRuns(bench)], [
        3005,
        "no",
        1,
      ]);
      t.is(bench.claims.states.get("d5"), undefined);
    });

    // A crashed upstream resets the connections that it had accepted. What it did before that is not known.
    it("is answered as unknown if the connection is reset", async (t) => {
      const bench = await openBench(t, 2);
      bench.services[0].faults.add({ type: "dead" });
      const answer = await post(bench, "/services/ledger/departures", "d4");
      t.deepEqual([answer.code, answer.ran, countRuns(bench)], [
        4003,
        "unknown",
        0,
      ]);
    });

    it("gets the upstream's own failure as its answer, and runs once", async (t) => {
      const bench = await openBench(t, 1);
      bench.services[0].faults.add({ type: "failAfterRun", times: 1 });
      t.is(
        (await post(bench, "/services/ledger/departures", "d6")).httpStatus,
        500,
      );
      t.is(
        (await post(bench, "/services/ledger/departures", "d6")).httpStatus,
        500,
      );
      t.is(countRuns(bench), 1);
    });

    // The VM is suspended between its claim and the dispatch, until another VM may have taken over the claim. It must
    // no longer send the call, and must say so.
    it("is not sent after the deadline of its claim", async (t) => {
      const bench = await openBench(t, 1);
      bench.claims.dispatchMs = -1;
      const answer = await post(bench, "/services/ledger/departures", "d7");
      t.deepEqual([answer.httpStatus, answer.code, answer.ran], [
        503,
        3009,
        "no",
      ]);
      t.is(countRuns(bench), 0);
    });

    // The upstream sends the head and a part of its answer, and then hangs. The caller must get "unknown" and the slot
    // must be freed; an earlier version let both wait forever.
    it("is given up when its answer stalls", async (t) => {
      const hangingServer = createServer((request, response) => {
        request.resume();
        response.writeHead(200, { "content-length": 100 });
        response.write("half");
      });
      await new Promise<void>((resolve) =>
        hangingServer.listen(0, "127.0.0.1", resolve)
      );
      const { port } = hangingServer.address() as AddressInfo;
      const edge = await openEdge([
        upstreamRow("l0", "ledger", `http://127.0.0.1:${port}`),
      ]);
      t.teardown(async () => {
        await edge.close();
        hangingServer.closeAllConnections();
        hangingServer.close();
      });
      const answer = await post(
        { ...edge, services: [] },
        "/services/ledger/departures",
        "d11",
      );
      t.deepEqual([answer.httpStatus, answer.code, answer.ran], [
        502,
        4003,
        "unknown",
      ]);
      t.is(edge.slots.reports[0].outcome, "failed");
      t.is(edge.claims.states.get("d11"), "unknown");
    });

    it("is refused as not run if no claim can be recorded", async (t) => {
      const bench = await openBench(t, 1);
      bench.claims.shouldRefuse = true;
      const answer = await post(bench, "/services/ledger/departures", "d8");
      t.deepEqual([answer.httpStatus, answer.code, answer.ran], [
        503,
        3009,
        "no",
      ]);
      t.is(countRuns(bench), 0);
      t.is(bench.slots.canceledAttempts.length, 1);
    });

    // The caller disconnects while its call runs. The call continues, and its answer is kept for the caller's next
    // attempt.
    it("continues without its caller", async (t) => {
      const bench = await openBench(t, 1, 100);
      const abort = new AbortController();
      const aborted = fetch(`${bench.url}/services/ledger/departures`, {
        method: "POST",
        headers: {
          authorization: `Bearer ${DRIVERS_KEY}`,
          "idempotency-key": "d9",
        },
        body: "flour to Imilchil",
        signal: abort.signal,
      });
      while (bench.services[0].records().length === 0) await sleep(2);
      abort.abort();
      t.is(await aborted.catch((error) => error.name), "AbortError");
      while (bench.claims.states.get("d9") === "running") await sleep(2);
      t.is(
        (await post(bench, "/services/ledger/departures", "d9")).httpStatus,
        200,
      );
      t.is(countRuns(bench), 1);
    });

    it("can be looked up by its key", async (t) => {
      const bench = await openBench(t, 1);
      await post(bench, "/services/ledger/departures", "d10");
      const lookUp = async (key: string) => {
        const url = `${bench.url}/v1/requests/${key}?service=ledger`;
        const response = await fetch(url, {
          headers: { authorization: `Bearer ${DRIVERS_KEY}` },
        });
        return [
          response.status,
          (await response.json() as { state?: string }).state,
        ];
      };
      t.deepEqual(await lookUp("d10"), [200, "answered"]);
      t.deepEqual(await lookUp("never"), [404, undefined]);
    });
  });

  describe("a plain call", () => {
    it("passes on method, path, query and headers, but neither the caller's key nor internal headers", async (t) => {
      const bench = await openBench(t, 1);
      const response = await fetch(`${bench.url}/services/notes/a/b?c=1`, {
        method: "PUT",
        headers: {
          authorization: `Bearer ${DRIVERS_KEY}`,
          "x-ibisgap-fence": "9",
        },
        body: "x",
      });
      const body = await response.json() as { method: string; path: string };
      t.deepEqual([body.method, body.path], ["PUT", "/a/b"]);
    });

    it("that changes something is not sent twice, and one that changes nothing is", async (t) => {
      const bench = await openBench(t, 2);
      bench.services[0].faults.add({ type: "cutAfterRun" });
      bench.services[1].faults.add({ type: "cutAfterRun" });
      const changing = await post(bench, "/services/notes/x");
      t.deepEqual([changing.code, changing.ran, countRuns(bench)], [
        4003,
        "unknown",
        1,
      ]);
      bench.services[1].faults.clear();
      const reading = await fetch(`${bench.url}/services/notes/x`, {
        headers: { authorization: `Bearer ${DRIVERS_KEY}` },
      });
      t.is(reading.status, 200);
    });
  });
});

function sleep(waitMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, waitMs));
}
