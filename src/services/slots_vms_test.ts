import type { ExecutionContext } from "ava";
import {
  makePlanRequest,
  makePlanTable,
  openRegion,
  Vm,
  waitForLead,
  waitUntil,
  waitUntilAgreed,
} from "../../test/vms.ts";
import { describe, it } from "../base/describe.ts";
import type { SlotAnswer } from "../decisions/mod.ts";

const POOL = "plan/agadir/0";
const UPSTREAMS = 2;
const SLOTS = 4;
const CAPACITY = UPSTREAMS * SLOTS;
const table = makePlanTable(1, ["agadir"], UPSTREAMS, SLOTS);

async function startRegion(t: ExecutionContext, count: number) {
  const vms = await openRegion("agadir", count, { table });
  t.teardown(() => Promise.all(vms.map((vm) => vm.crash())));
  await waitUntilAgreed(vms);
  const lead = await waitForLead(vms, POOL);
  const others = vms.filter((vm) => vm !== lead);
  return { vms, lead, others };
}

function acquire(vm: Vm, attemptId: string, deadlineMs?: number) {
  const more = deadlineMs === undefined ? {} : { deadlineMs };
  return vm.slots.ask("acquire", makePlanRequest(attemptId, more));
}

async function fill(vm: Vm, count: number, prefix = "held"): Promise<void> {
  for (let n = 0; n < count; n++) {
    const answer = await acquire(vm, `${prefix}-${n}`);
    if (answer.type !== "grant") throw new Error(JSON.stringify(answer));
  }
}

function report(
  vm: Vm,
  answer: SlotAnswer,
  outcome: "started" | "done" = "done",
): Promise<void> {
  if (answer.type !== "grant") throw new Error(JSON.stringify(answer));
  const { attemptId, upstreamId } = answer;
  return vm.slots.ask("report", {
    attemptId,
    service: "plan",
    upstreamId,
    outcome,
    outputTokens: 20,
    totalMs: 100,
  });
}

/** The number of requests in the queue of the pool's lead. A lead that still collects held slots counts as empty. */
function countWaiting(vms: readonly Vm[]): number {
  const leads = vms.map((vm) => vm.ledPool(POOL));
  const deciding = leads.filter((pool) => pool && !pool.collecting);
  return deciding.reduce((sum, pool) => sum + pool!.waiting, 0);
}

/** Whether a request from `vm` is queued at the one lead among `vms` for lack of a slot. It is canceled again. */
async function isFull(vm: Vm, vms: readonly Vm[]): Promise<boolean> {
  const attemptId = `probe-${vm.id}-${vms.length}`;
  const before = countWaiting(vms);
  const asked = acquire(vm, attemptId).then(() => "answered" as const);
  const queued = waitUntil("it is queued", () => countWaiting(vms) > before);
  const first = await Promise.race([asked, queued]);
  await vm.slots.ask("cancel", { attemptId, service: "plan" });
  queued.catch(() => {});
  if (first === "answered") return false;
  await waitUntil("it is canceled", () => countWaiting(vms) === before);
  return true;
}

describe("slots between VMs", () => {
  it("has one lead that counts the slots of all entry VMs", async (t) => {
    const { vms, others: [a, b] } = await startRegion(t, 4);
    await fill(a, CAPACITY / 2, "a");
    await fill(b, CAPACITY / 2, "b");
    t.true(await isFull(a, vms));
    t.true(await isFull(b, vms));
  });

  it("answers a queued request as soon as a slot is free", async (t) => {
    const { vms, others: [a, b] } = await startRegion(t, 4);
    const first = await acquire(a, "first");
    await fill(a, CAPACITY - 1);
    const queued = acquire(b, "queued");
    await waitUntil("it is queued", () => countWaiting(vms) === 1);
    await report(a, first, "started");
    t.true(await isFull(b, vms));
    await report(a, first);
    t.like(await queued, { type: "grant", attemptId: "queued" });
  });

  // A caller closes its connection while its request waits in another VM's queue. The request must not take a slot at
  // its turn, and the entry VM gets the refusal at once.
  it("cancels a queued request whose caller disconnected", async (t) => {
    const { others: [a, b] } = await startRegion(t, 4);
    const first = await acquire(a, "first");
    await fill(a, CAPACITY - 1);
    const gone = acquire(b, "gone");
    const next = acquire(a, "next");
    await b.slots.ask("cancel", { attemptId: "gone", service: "plan" });
    t.like(await gone, { type: "refuse", failure: { ran: "no" } });
    await report(a, first);
    t.like(await next, { type: "grant" });
  });

  describe("the lead crashes", () => {
    // All slots are held by another VM's running requests when the lead crashes. The next lead must learn of them from
    // that VM. If it started empty, it would send the same number of requests again to upstreams that are full.
    it("is replaced by a lead that knows what the entry VMs hold", async (t) => {
      const { lead, others } = await startRegion(t, 4);
      const [a, b] = others;
      await fill(a, CAPACITY);
      await lead.crash();
      await waitForLead(others, POOL);
      t.true(await isFull(a, others));
      t.true(await isFull(b, others));
    });

    // A request waits in the lead's queue when the lead crashes. Its caller only waits longer: the entry VM asks the
    // next lead, which grants the request when a slot is free.
    it("delays a queued request but does not fail it", async (t) => {
      const { lead, others } = await startRegion(t, 4);
      const [a, b] = others;
      const first = await acquire(a, "first");
      await fill(a, CAPACITY - 1);
      const queued = acquire(b, "queued");
      await lead.crash();
      await waitForLead(others, POOL);
      await report(a, first);
      t.like(await queued, { type: "grant", attemptId: "queued" });
    });
  });

  // The lead freezes while a request waits in its queue: its connections stay open and nothing answers. The entry VM
  // must not wait for it until the request's deadline. When the others detect that it is dead, the request goes to the
  // next lead.
  it("does not wait for a frozen lead", async (t) => {
    const { vms, lead, others } = await startRegion(t, 4);
    const [a, b] = others;
    const first = await acquire(a, "first");
    await fill(a, CAPACITY - 1);
    const queued = acquire(b, "queued");
    await waitUntil("it is queued", () => countWaiting(vms) === 1);
    lead.transport.faults.set("frozen", { peer: {}, cut: true });
    await waitForLead(others, POOL);
    await report(a, first);
    t.like(await queued, { type: "grant", attemptId: "queued" });
  });

  // An entry VM crashes while it holds all slots, and no VM reports their end. They are freed when their TTL has passed
  // without a renewal, and not before, since its requests may still run.
  it("frees the slots of a crashed entry VM", async (t) => {
    const { vms, others: [a, b] } = await startRegion(t, 4);
    await fill(a, CAPACITY);
    await a.crash();
    t.true(await isFull(b, vms));
    t.like(await acquire(b, "later"), { type: "grant" });
  });

  // Slots are held for longer than their TTL. Without renewals the lead would grant them to a second request.
  it("keeps slots that are renewed", async (t) => {
    const { vms, others: [a, b] } = await startRegion(t, 3);
    await fill(a, CAPACITY);
    await new Promise((resolve) => setTimeout(resolve, 8000));
    t.true(await isFull(b, vms));
  });

  // The lead is stopped as planned while requests run and wait. No caller may see an error: the queued request goes to
  // the next lead at once, and that lead knows the slots of the running requests.
  it("hands over its pools at a planned stop", async (t) => {
    const { lead, others } = await startRegion(t, 4);
    const [a, b] = others;
    const first = await acquire(a, "first");
    await fill(a, CAPACITY - 1);
    const queued = acquire(b, "queued");
    await lead.stop();
    await waitForLead(others, POOL);
    await waitUntil("it is queued again", () => countWaiting(others) === 1);
    t.true(await isFull(a, others));
    await report(a, first);
    t.like(await queued, { type: "grant", attemptId: "queued" });
  });

  // A VM that leads starts to drain. New requests must be decided elsewhere before it stops.
  it("assigns no pools to a leaving VM", async (t) => {
    const { lead, others } = await startRegion(t, 4);
    await lead.members.ask("leave", undefined);
    await waitUntil(
      "the leaving VM leads nothing",
      () => lead.ledPoolKeys().length === 0,
    );
    const next = await waitForLead(others, POOL);
    t.not(next, lead);
    t.like(await acquire(lead, "late"), { type: "grant" });
  });

  // One VM is cut off from all others. It must continue to serve its own callers, so it leads all pools for itself. The
  // others continue with a lead of their own. After the cut there is one lead again.
  it("lets an isolated VM lead for itself until it is connected again", async (t) => {
    const { vms, others } = await startRegion(t, 4);
    const [cut, ...rest] = [others[0], ...vms.filter((v) => v !== others[0])];
    cut.transport.faults.set("isolated", { peer: {}, cut: true });
    await waitUntil("it leads alone", () => cut.ledPoolKeys().includes(POOL));
    t.like(await acquire(cut, "alone"), { type: "grant" });
    await waitForLead(rest, POOL);
    t.like(await acquire(rest[0], "together"), { type: "grant" });
    cut.transport.faults.clear();
    await waitUntilAgreed(vms);
    await waitForLead(vms, POOL);
    t.like(await acquire(cut, "again"), { type: "grant" });
  });

  // The link from one entry VM to the lead is cut, in this direction only. Its callers must see no error: another VM
  // relays its requests to the same lead, whose count of slots stays exact.
  it("relays around a link that is cut", async (t) => {
    const { vms, lead, others: [a, b] } = await startRegion(t, 4);
    a.transport.faults.set("one-way", {
      peer: { vmId: lead.id },
      direction: "out",
      cut: true,
    });
    a.transport.faults.set("no-dial", {
      peer: { address: lead.address },
      direction: "out",
      cut: true,
    });
    await fill(a, CAPACITY);
    t.true(await isFull(b, vms));
  });

  // A lead is replaced by a new process with the same name and address. The new process leads the same pools but has no
  // record of grants, so it must collect what the entry VMs hold before it grants anything.
  it("collects held slots again after a replacement at the same address", async (t) => {
    const { lead, others } = await startRegion(t, 4);
    await fill(others[0], CAPACITY);
    const { id, port, region: name } = lead;
    await lead.crash();
    const seeds = others.map((vm) => vm.address);
    const replacement = await Vm.open({ id, port, region: name, table, seeds });
    t.teardown(() => replacement.crash());
    await waitUntilAgreed([replacement, ...others]);
    await waitForLead([replacement, ...others], POOL);
    t.true(await isFull(others[1], [replacement, ...others]));
  });
});
