import type { ExecutionContext } from "ava";
import fc from "fast-check";
import { makePlanRequest, makePlanTable } from "../../test/vms.ts";
import { digestAttempts, poolsOfRegion } from "../agreement/mod.ts";
import { describe, it } from "../base/describe.ts";
import type { HeldSlot, SlotRequest } from "../decisions/mod.ts";
import { heldSlot, type LeadOutput, LeadPool } from "./lead_pool.ts";

const SLOTS = 3;
const VMS = 3;
const TABLE = makePlanTable(1, ["r"], 1, SLOTS);
const INFO = [...poolsOfRegion(TABLE, "r").values()][0];
const STEP_MS = 50;
const RENEW_MS = 2000;
/** The delay of a late answer. Answers are delayed for longer only if the link is broken. */
const ANSWER_DELAY_MS = 1500;

/** One step of a schedule. `vm` is the number of an entry VM, `lead` that of a VM that starts to lead. */
type Step =
  | { readonly type: "pass"; readonly ms: number }
  | { readonly type: "acquire"; readonly vm: number; readonly reply: Delivery }
  | { readonly type: "end"; readonly vm: number; readonly lost: boolean }
  /** The lead changes by a planned stop of the old one or by its crash. */
  | { readonly type: "move"; readonly lead: number; readonly crash: boolean }
  /** Another VM starts to lead besides the present leads, and cannot reach one of the entry VMs. */
  | {
    readonly type: "split";
    readonly lead: number;
    readonly unreachable: number;
  };

/** What happens to a lead's answer. */
type Delivery = "arrives" | "late" | "lost";

interface EntryVm {
  readonly held: Map<string, HeldSlot>;
  /** The number of the VM that it sees as the lead. */
  lead: number;
}

interface LateAnswer {
  readonly from: number;
  readonly arriveAtMs: number;
  readonly deliver: () => void;
}

/** The entry VMs and leads of one pool. Its checks compare what the entry VMs hold with the pool's slots. */
class RegionModel {
  readonly violations: string[] = [];
  readonly #make: (nowMs: number) => LeadPool;
  readonly #entries: EntryVm[] = [];
  readonly #leads = new Map<number, LeadPool>();
  readonly #requests = new Map<string, PendingRequest>();
  #late: LateAnswer[] = [];
  #nowMs = 1_000_000;
  #nextRenewMs = 0;
  #attempts = 0;
  /** The largest number of leads at a time. */
  maxLeads = 1;

  constructor(make: (nowMs: number) => LeadPool) {
    this.#make = make;
    for (let n = 0; n < VMS; n++) {
      this.#entries.push({ held: new Map(), lead: 0 });
    }
    this.#start(0, []);
    this.#advance(1000);
  }

  run(steps: readonly Step[]): void {
    for (const step of steps) {
      this.#step(step);
      this.#checkHeld();
    }
  }

  /** Leaves VM 0 as the only lead. After some renewals its record must match what the entry VMs hold. */
  settle(): void {
    for (const lead of [...this.#leads.keys()]) {
      if (lead !== 0) this.#leads.delete(lead);
    }
    if (!this.#leads.has(0)) this.#start(0, []);
    for (const entry of this.#entries) entry.lead = 0;
    this.#advance(12_000);
    const recorded = this.#leads.get(0)!.heldByEntry()
      .flatMap(([n, slots]) => slots.map((slot) => `${n}/${slot.attemptId}`));
    const held = this.#entries.flatMap((entry, n) =>
      [...entry.held.keys()].map((id) => `${n}/${id}`)
    );
    if (recorded.sort().join() === held.sort().join()) return;
    this.violations.push(
      `the lead records ${recorded}, entry VMs hold ${held}`,
    );
  }

  #step(step: Step): void {
    switch (step.type) {
      case "pass":
        return this.#advance(step.ms);
      case "acquire":
        return this.#acquire(step.vm, step.reply);
      case "end":
        return this.#end(step.vm, step.lost);
      case "move":
        return this.#move(step.lead, step.crash);
      case "split":
        this.#start(step.lead, [step.unreachable]);
        this.#entries[step.lead].lead = step.lead;
        this.maxLeads = Math.max(this.maxLeads, this.#leads.size);
    }
  }

  #advance(ms: number): void {
    const endMs = this.#nowMs + ms;
    while (this.#nowMs < endMs) {
      this.#nowMs += STEP_MS;
      this.#deliverDue();
      if (this.#nowMs >= this.#nextRenewMs) this.#renewAll();
      for (const [n, lead] of this.#leads) {
        this.#handle(n, lead.tick(this.#nowMs));
      }
      this.#checkHeld();
    }
  }

  #deliverDue(): void {
    const due = this.#late.filter((late) => late.arriveAtMs <= this.#nowMs);
    this.#late = this.#late.filter((late) => late.arriveAtMs > this.#nowMs);
    for (const { deliver } of due) deliver();
  }

  #acquire(vm: number, reply: Delivery): void {
    const attemptId = `x${this.#attempts++}`;
    const request = makePlanRequest(attemptId, {
      arrivedAtMs: this.#nowMs,
      deadlineMs: this.#nowMs + 10_000,
    });
    const lead = this.#entries[vm].lead;
    this.#requests.set(attemptId, { vm, reply, request });
    const pool = this.#leads.get(lead);
    if (pool) {
      this.#handle(lead, pool.request(request, String(vm), this.#nowMs));
    }
  }

  #end(vm: number, lost: boolean): void {
    const { held, lead } = this.#entries[vm];
    const slot = [...held.values()][0];
    if (!slot) return;
    held.delete(slot.attemptId);
    const pool = this.#leads.get(lead);
    if (lost || !pool) return;
    const { attemptId, upstreamId } = slot;
    const report = {
      attemptId,
      service: "plan",
      upstreamId,
      outcome: "done",
      outputTokens: 1,
      totalMs: 10,
    } as const;
    this.#handle(lead, pool.report(report, this.#nowMs));
  }

  #renewAll(): void {
    this.#nextRenewMs = this.#nowMs + RENEW_MS;
    this.#entries.forEach(({ held, lead }, n) => {
      const pool = this.#leads.get(lead);
      if (!pool) return;
      const digest = digestAttempts(held.keys());
      if (pool.renew(String(n), digest, this.#nowMs)) return;
      const slots = [...held.values()];
      this.#handle(lead, pool.reconcile(String(n), slots, this.#nowMs));
    });
  }

  #move(to: number, crash: boolean): void {
    const old = [...this.#leads];
    if (old.length !== 1 || old[0][0] === to) return;
    const [from, pool] = old[0];
    this.#leads.delete(from);
    this.#handle(from, pool.stop());
    if (crash) this.#late = this.#late.filter((late) => late.from !== from);
    this.#start(to, []);
    for (const entry of this.#entries) entry.lead = to;
    if (crash) return;
    for (const [entry, held] of pool.heldByEntry()) {
      this.#handle(
        to,
        this.#leads.get(to)!.adoptHandover(entry, held, this.#nowMs),
      );
    }
  }

  #start(n: number, unreachable: readonly number[]): void {
    if (this.#leads.has(n)) return;
    const pool = this.#make(this.#nowMs);
    this.#leads.set(n, pool);
    this.#handle(n, pool.configure(TABLE, INFO, this.#nowMs));
    this.#entries.forEach(({ held }, vm) => {
      if (unreachable.includes(vm) && vm !== n) return;
      const slots = [...held.values()];
      this.#handle(n, pool.adoptHeld(String(vm), slots, this.#nowMs));
    });
  }

  #handle(from: number, outputs: readonly LeadOutput[]): void {
    for (const output of outputs) {
      if (output.type !== "decided") continue;
      const { answer } = output;
      const asked = this.#requests.get(output.attemptId);
      if (answer.type !== "grant" || !asked || asked.reply === "lost") continue;
      const deliver = () => {
        const slot = heldSlot(asked.request, answer);
        this.#entries[asked.vm].held.set(slot.attemptId, slot);
      };
      if (asked.reply === "arrives") deliver();
      else {
        const arriveAtMs = this.#nowMs + ANSWER_DELAY_MS;
        this.#late.push({ from, arriveAtMs, deliver });
      }
    }
  }

  #checkHeld(): void {
    let held = 0;
    for (const entry of this.#entries) held += entry.held.size;
    const max = SLOTS * this.maxLeads;
    if (held <= max) return;
    this.violations.push(`${held} requests in ${max} slots`);
  }
}

interface PendingRequest {
  readonly vm: number;
  readonly reply: Delivery;
  readonly request: SlotRequest;
}

const vm = fc.nat({ max: VMS - 1 });
const reply = fc.constantFrom<Delivery>("arrives", "arrives", "late", "lost");

function steps(splits: boolean): fc.Arbitrary<Step[]> {
  const usual: fc.WeightedArbitrary<Step>[] = [
    {
      weight: 4,
      arbitrary: fc.record({
        type: fc.constant("pass" as const),
        ms: fc.nat({ max: 4000 }),
      }),
    },
    {
      weight: 10,
      arbitrary: fc.record({
        type: fc.constant("acquire" as const),
        vm,
        reply,
      }),
    },
    {
      weight: 4,
      arbitrary: fc.record({
        type: fc.constant("end" as const),
        vm,
        lost: fc.boolean(),
      }),
    },
  ];
  const change: fc.WeightedArbitrary<Step> = splits
    ? {
      weight: 2,
      arbitrary: fc.record({
        type: fc.constant("split" as const),
        lead: vm,
        unreachable: vm,
      }),
    }
    : {
      weight: 2,
      arbitrary: fc.record({
        type: fc.constant("move" as const),
        lead: vm,
        crash: fc.boolean(),
      }),
    };
  return fc.array(fc.oneof(...usual, change), { maxLength: 30 });
}

interface Options {
  readonly runs: number;
  readonly seed: number;
  readonly splits: boolean;
  readonly shrink?: boolean;
  readonly make?: (nowMs: number) => LeadPool;
}

/** Runs random schedules. A violation is thrown with the schedule, its seed and its path, which replay it. */
function search({ runs, seed, splits, shrink, make }: Options): void {
  fc.assert(
    fc.property(steps(splits), (schedule) => {
      const region = new RegionModel(make ?? newLeadPool);
      region.run(schedule);
      region.settle();
      if (region.violations.length > 0) throw new Error(region.violations[0]);
    }),
    {
      numRuns: runs,
      seed,
      endOnFailure: !shrink,
      includeErrorInReport: true,
    },
  );
}

const VM_IDS = Array.from({ length: VMS }, (_, n) => String(n));

function newLeadPool(nowMs: number): LeadPool {
  return new LeadPool(INFO, VM_IDS, 7, nowMs);
}

function assertCaught(
  t: ExecutionContext,
  make: (nowMs: number) => LeadPool,
  message: RegExp,
): void {
  const options = { runs: 500, seed: 3, splits: false, make };
  t.throws(() => search(options), { message });
}

const RUNS = Number(process.env.FUZZ_RUNS ?? 4000);

describe("leads > schedules", () => {
  // The lead changes by planned stops and by crashes, while its answers are late or lost and reports are lost. The VMs
  // agree on the lead. The upstream never gets more requests than slots, and the lead's record is right in the end.
  it("never overfills the upstream while the VMs agree on the lead", (t) => {
    const options = { runs: RUNS, seed: 20262, splits: false, shrink: true };
    t.notThrows(() => search(options));
  });

  // The VMs disagree: several lead at once, and a new lead cannot reach one of the entry VMs. The upstream never gets
  // more requests than its slots times the leads, and the record is right once there is one lead.
  it("overfills the upstream by no more than its slots for each further lead", (t) => {
    const options = { runs: RUNS, seed: 20263, splits: true, shrink: true };
    t.notThrows(() => search(options));
  });

  describe("the checks fail for a lead", () => {
    it("that ignores the slots that entry VMs hold", (t) => {
      class IgnoresHeldSlots extends LeadPool {
        override adoptHeld(
          entry: string,
          _held: readonly HeldSlot[],
          nowMs: number,
        ) {
          return super.adoptHeld(entry, [], nowMs);
        }
      }
      const make = (nowMs: number) =>
        new IgnoresHeldSlots(INFO, VM_IDS, 7, nowMs);
      assertCaught(t, make, /requests in/);
    });

    it("that ignores the handover of the previous lead", (t) => {
      class IgnoresHandover extends LeadPool {
        override adoptHandover() {
          return [];
        }
      }
      const make = (nowMs: number) =>
        new IgnoresHandover(INFO, VM_IDS, 7, nowMs);
      assertCaught(t, make, /requests in/);
    });

    it("that frees grants that are in transit", (t) => {
      class FreesUnsettledGrants extends LeadPool {
        override reconcile(
          entry: string,
          held: readonly HeldSlot[],
          nowMs: number,
        ) {
          return super.reconcile(entry, held, nowMs + 2000);
        }
      }
      const make = (nowMs: number) =>
        new FreesUnsettledGrants(INFO, VM_IDS, 7, nowMs);
      assertCaught(t, make, /requests in/);
    });

    it("that accepts every renewal", (t) => {
      class AcceptsEveryRenewal extends LeadPool {
        override renew(): boolean {
          return true;
        }
      }
      const make = (nowMs: number) =>
        new AcceptsEveryRenewal(INFO, VM_IDS, 7, nowMs);
      assertCaught(t, make, /requests in|the lead records/);
    });
  });
});
