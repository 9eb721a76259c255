import type { ExecutionContext } from "ava";
import { describe, it } from "../src/base/describe.ts";
import {
  type CallerAnswer,
  GatewayLab,
  type LabVm,
  openLab,
  waitUntil,
} from "./gateway_lab.ts";
import {
  addScripted,
  formatHead,
  type Script,
  type ScriptedUpstream,
} from "./scripted_upstream.ts";

/** Makes a script that runs each request and spoils the status of its answer. */
function spoilStatus(status: string): Script {
  return (request, socket) => {
    const head = formatHead(request, `${status} OK`, ["Content-Length: 4"]);
    socket.write(`${head}done`);
  };
}

function ranOf({ body }: CallerAnswer): string {
  return (JSON.parse(body) as { error: { ran: string } }).error.ran;
}

interface Spoiled {
  readonly lab: GatewayLab;
  /** The VM that callers use. */
  readonly vm: LabVm;
  readonly upstream: ScriptedUpstream;
}

/** Opens an upstream that runs each request and spoils its answers, in the region of the callers' VM or another one. */
async function openSpoiled(
  t: ExecutionContext,
  status: string,
  isRelayed: boolean,
): Promise<Spoiled> {
  const { lab, vm } = await openLab(t, 0);
  const script = spoilStatus(status);
  if (!isRelayed) {
    return { lab, vm, upstream: await addScripted(t, lab, vm, script) };
  }
  const southVm = await lab.addVm("south");
  const upstream = await addScripted(t, lab, southVm, script, "south");
  await lab.waitUntilReady(southVm);
  // The first request that arrives in the other region shows that it is known.
  await waitUntil(async () => {
    await lab.call(vm, { path: "/once/", method: "POST" });
    return upstream.requests.length > 0;
  });
  upstream.requests.length = 0;
  return { lab, vm, upstream };
}

/** Guards against an at-most-once request that runs twice, or is told as not run, as its answer can't be passed on. */
describe("gateway, an at-most-once request whose answer has a spoiled status", () => {
  for (const status of ["000", "099"]) {
    for (const isRelayed of [false, true]) {
      it(`${status} is told as maybe run, ${isRelayed ? "relayed" : "directly"}`, async (t) => {
        const { lab, vm, upstream } = await openSpoiled(t, status, isRelayed);
        const answer = await lab.call(vm, { path: "/once/", method: "POST" });
        t.true([500, 502].includes(answer.status), String(answer.status));
        t.is(ranOf(answer), "unknown");
        t.is(upstream.requests.length, 1);
      });
    }
  }
});
