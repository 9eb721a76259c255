import { createSocket } from "node:dgram";
import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import type { ExecutionContext } from "ava";
import { describe, it } from "../src/base/describe.ts";
import { sleep } from "./cluster.ts";
import {
  type GatewayLab,
  type LabVm,
  openLab,
  waitUntil,
} from "./gateway_lab.ts";
import { encodeOdd, ODD_VALUES } from "./odd_values.ts";

const DIGEST_INTERVAL_MS = 200;
const HEAD_END = "\r\n\r\n";

/** Answers a request, given as text, for a VM of another region. */
type Answer = (request: string, attemptId: string) => string;

/** A VM of another region that answers what a test wants. */
interface OddVm {
  readonly lab: GatewayLab;
  readonly vm: LabVm;
  /** Requests that it got, as text. */
  readonly requests: string[];
}

function serve(socket: Socket, answer: Answer, requests: string[]): void {
  socket.on("error", () => {});
  let text = "";
  socket.on("data", (chunk) => {
    text += chunk.toString("latin1");
    const headEnd = text.indexOf(HEAD_END);
    if (headEnd < 0) return;
    const length = /^content-length: *(\d+)/im.exec(text)?.[1] ?? "0";
    if (text.length < headEnd + HEAD_END.length + Number(length)) return;
    const attemptId = /^attempt-id: *(.*)\r$/im.exec(text)?.[1] ?? "";
    requests.push(text);
    socket.write(answer(text, attemptId), "latin1");
    text = "";
  });
}

/** Opens a VM whose other region consists of a VM that answers by `answer`, and claims to have news. */
async function openOddVm(t: ExecutionContext, answer: Answer): Promise<OddVm> {
  const { lab, vm } = await openLab(t, 1);
  const { beats, peers } = vm.settings.listen;
  const [ownIp, port] = peers.split(":");
  const ip = ownIp.replace(/\d+$/, (last) => String(Number(last) + 1));
  const requests: string[] = [];
  const sockets: Socket[] = [];
  const server: Server = createServer((socket) => {
    sockets.push(socket);
    serve(socket, answer, requests);
  });
  server.listen(Number(port), ip);
  await once(server, "listening");
  const self = {
    id: "vm-odd",
    ip,
    region: "south",
    failureDomain: "south-a",
    bornMs: 1,
    cores: 1,
  };
  const copy = { rev: 1_000_000, digest: "odd" };
  const digest = {
    from: self,
    everyMs: DIGEST_INTERVAL_MS,
    leads: [self],
    ready: [ip],
    vms: 1,
    copies: { operators: copy, upstreams: copy },
    configVersion: 1_000_000,
    room: { s: { free: 100, queue: 100 } },
  };
  const udp = createSocket("udp4");
  const timer = setInterval(() => {
    const message = { jsonrpc: "2.0", method: "digest", params: digest };
    udp.send(JSON.stringify(message), beats, ownIp);
  }, DIGEST_INTERVAL_MS);
  t.teardown(() => {
    clearInterval(timer);
    udp.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return { lab, vm, requests };
}

function internalErrors({ log }: LabVm): unknown[] {
  return log.lines.filter(({ event }) => event.includes("internal error"));
}

const ODD_TEXTS = [
  "",
  "toString",
  "constructor",
  "__proto__",
  "x".repeat(2_000),
  "%",
  "%ff",
  "NaN",
  "Infinity",
  "-Infinity",
  "-5",
  "1e400",
  "0x10",
  "queueFull",
  "yes",
  "no",
];
const FIELDS = [
  "code",
  "ran",
  "come-back-ms",
  "arrivals",
  "ended-upstream",
  "version",
  "open-process",
];

/** Guards against a caller without an answer, or an answer that no VM meant, by what another VM says of a failure. */
describe("gateway, odd answers of a VM that a request was relayed to", () => {
  for (const status of ["200 OK", "502 Bad", "503 Busy"]) {
    it(`are answered: ${status}`, async (t) => {
      let extra: string[] = [];
      const { lab, vm, requests } = await openOddVm(
        t,
        (request, attemptId) =>
          request.startsWith("POST /ibisgap/")
            ? `HTTP/1.1 404 None\r\nContent-Length: 0${HEAD_END}`
            : [
              `HTTP/1.1 ${status}`,
              `Attempt-Id: ${attemptId}`,
              "Response-Stamp: odd",
              ...extra,
              "Content-Length: 4",
            ].join("\r\n") + `${HEAD_END}done`,
      );
      await waitUntil(async () => {
        await lab.call(vm, { path: "/south/", method: "POST" });
        return requests.some((request) => request.includes("/south/"));
      });
      for (const field of FIELDS) {
        for (const text of ODD_TEXTS) {
          extra = [`Ibisgap-${field}: ${text}`];
          if (field !== "code" && !status.startsWith("200")) {
            extra.push("Ibisgap-Code: upstreamFailed");
          }
          const answer = await lab.call(vm, { path: "/south/", method: "POST" })
            .catch(() => undefined);
          const name = `${status} ${extra}`;
          t.truthy(answer, `${name}: no answer`);
          t.true(answer?.isComplete ?? false, name);
          const retryAfter = answer?.headers["retry-after"] ?? "0";
          t.regex(String(retryAfter), /^\d+(\.\d+)?$/, name);
          const ran = /"ran":"(\w+)"/.exec(answer?.body ?? "")?.[1];
          const isPromise = answer?.status === 503 || answer?.status === 429;
          if (isPromise) t.is(ran, "no", name);
        }
      }
      t.deepEqual(internalErrors(vm), []);
    });
  }
});

/** Guards against news of another VM that end the process which asked for them, or keep it from the store's. */
describe("gateway, odd news of another VM", () => {
  it("are not taken, and those of the store are", async (t) => {
    const results: unknown[] = [
      ...ODD_VALUES,
      ...ODD_VALUES.map((odd) => ({ state: odd, entries: [], deleted: [] })),
      ...ODD_VALUES.map((odd) => ({
        state: { rev: 1e6, digest: "odd" },
        entries: [{ key: "op/config", rev: 9, value: odd }],
        deleted: [odd],
      })),
      ...ODD_VALUES.map((odd) => ({ value: odd, origin: odd })),
      ...ODD_VALUES.map((odd) => ({ packed: odd, origin: null })),
    ];
    let asked = 0;
    const { lab, vm, requests } = await openOddVm(t, (request) => {
      const id = /"id": *(\d+)/.exec(request)?.[1] ?? "1";
      const result = results[asked++ % results.length];
      const body = Buffer.from(
        encodeOdd({ jsonrpc: "2.0", id: Number(id), result }),
      ).toString("latin1");
      return `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}${HEAD_END}${body}`;
    });
    await waitUntil(() => requests.length >= 6);
    for (let i = 0; i < 12; i++) {
      lab.configure();
      const { configVersion } = lab;
      await waitUntil(() =>
        JSON.stringify(vm.gateway.dump().beliefs).includes(`${configVersion}`)
      );
      const answer = await lab.call(vm, { path: "/once/", method: "POST" });
      t.is(answer.status, 200);
      await sleep(400);
    }
    t.deepEqual(internalErrors(vm), []);
    t.log(`${asked} answers`);
  });
});
