import type { ExecutionContext } from "ava";
import fc from "fast-check";
import { describe, it } from "../base/describe.ts";
import {
  DEFAULT_MEMBERSHIP_TIMES,
  type Gossip,
  type MemberRecord,
  Membership,
  type MembershipOutput,
  replaces,
} from "./mod.ts";

/** One step of a schedule; `a` and `b` are the numbers of VMs. */
type Step =
  | { readonly type: "pass"; readonly ms: number }
  | { readonly type: "cut" | "heal"; readonly a: number; readonly b: number }
  | {
    readonly type: "crash" | "restart" | "pause" | "resume" | "leave";
    readonly a: number;
  }
  /** An old message arrives (again) at `a`. */
  | { readonly type: "replay"; readonly a: number; readonly message: number };

const VMS = 4;
const TICK_MS = 100;
/** Long enough for suspicions to expire, unknown VMs to be contacted and all news to arrive. */
const SETTLE_MS = 40_000;

type MakeMembership = (
  self: ConstructorParameters<typeof Membership>[0],
) => Membership;

/** VMs whose messages a schedule loses, duplicates and delays. Time is simulated; nothing here waits. */
class SimRegion {
  readonly machines: (Membership | undefined)[] = [];
  readonly violations: string[] = [];
  readonly #make: MakeMembership;
  readonly #cuts = new Set<string>();
  readonly #paused = new Set<number>();
  readonly #sent: Gossip[] = [];
  readonly #seen = new Map<string, MemberRecord>();
  #nowMs = 1000;
  /** Whether a fault has occurred. Before the first one no VM may be suspected. */
  #hadFault = false;

  constructor(make: MakeMembership) {
    this.#make = make;
    for (let n = 0; n < VMS; n++) this.#start(n);
    this.#advance(SETTLE_MS / 4);
  }

  run(steps: readonly Step[]): void {
    for (const step of steps) this.#step(step);
  }

  /** Ends all faults. After {@link SETTLE_MS} all running VMs must agree on which VMs run. */
  settle(): void {
    this.#cuts.clear();
    this.#paused.clear();
    this.#advance(SETTLE_MS);
    const running = this.machines.filter((m) => m !== undefined);
    const wanted = running.map((m) => stateOf(m.self)).sort().join(" ");
    for (const machine of running) {
      const seen = machine.present().map(stateOf).sort().join(" ");
      if (seen === wanted) continue;
      this.violations.push(`${machine.self.id} sees ${seen}, not ${wanted}`);
    }
  }

  #step(step: Step): void {
    this.#hadFault ||= step.type === "cut" || step.type === "crash" ||
      step.type === "pause";
    switch (step.type) {
      case "pass":
        return this.#advance(step.ms);
      case "cut":
        return void this.#cuts.add(`${step.a}>${step.b}`);
      case "heal":
        return void this.#cuts.delete(`${step.a}>${step.b}`);
      case "crash":
        return void (this.machines[step.a] = undefined);
      case "restart":
        if (!this.machines[step.a]) this.#start(step.a);
        return;
      case "pause":
        return void this.#paused.add(step.a);
      case "resume":
        return void this.#paused.delete(step.a);
      case "leave":
        return this.#perform(step.a, this.machines[step.a]?.leave(false) ?? []);
      case "replay": {
        const old = this.#sent[step.message % Math.max(1, this.#sent.length)];
        if (old) this.#deliver(step.a, old);
      }
    }
  }

  #start(n: number): void {
    this.#nowMs += 1;
    const machine = this.#make({
      id: `vm${n}`,
      incarnation: this.#nowMs,
      region: "r",
      failureDomain: "r-1",
      peerAddress: String(n),
      callerUrl: "",
    });
    machine.setSeeds(Array.from({ length: VMS }, (_, seed) => String(seed)));
    this.machines[n] = machine;
  }

  #advance(ms: number): void {
    const endMs = this.#nowMs + ms;
    while (this.#nowMs < endMs) {
      this.#nowMs += TICK_MS;
      this.machines.forEach((machine, n) => {
        if (!machine || this.#paused.has(n)) return;
        this.#perform(n, machine.tick(this.#nowMs));
        this.#check(machine);
      });
    }
  }

  #reaches(from: number, to: number): boolean {
    return this.machines[to] !== undefined && !this.#paused.has(to) &&
      !this.#cuts.has(`${from}>${to}`);
  }

  #perform(n: number, outputs: readonly MembershipOutput[]): void {
    const machine = this.machines[n];
    if (!machine || this.#paused.has(n)) return;
    for (const output of outputs) {
      if (output.type === "ping") {
        const target = Number(output.target.peerAddress);
        if (!this.#ping(n, target)) {
          this.#perform(n, machine.pingFailed(output.target.id));
        }
      } else if (output.type === "pingVia") {
        const { target, helpers } = output;
        const to = Number(target.peerAddress);
        const answered = helpers.some((helper) => {
          const via = Number(helper.peerAddress);
          return this.#reaches(n, via) && this.#ping(via, to) &&
            this.#reaches(via, n);
        });
        if (answered) continue;
        this.#perform(n, machine.indirectPingFailed(target, this.#nowMs));
      } else if (output.type === "sync") this.#sync(n, Number(output.address));
      else {
        for (const target of output.targets) {
          const to = Number(target.peerAddress);
          const gossip = this.#gossip(machine);
          if (this.#reaches(n, to)) this.#deliver(to, gossip);
        }
      }
    }
  }

  #ping(from: number, to: number): boolean {
    const gossip = this.#gossip(this.machines[from]!);
    if (!this.#reaches(from, to)) return false;
    this.#deliver(to, gossip);
    const answer = this.#gossip(this.machines[to]!);
    if (!this.#reaches(to, from)) return false;
    this.#deliver(from, answer);
    return true;
  }

  #sync(from: number, to: number): void {
    if (from === to || !this.#reaches(from, to)) return;
    const records = this.machines[from]!.all();
    this.#learn(to, records);
    if (this.#reaches(to, from)) this.#learn(from, this.machines[to]!.all());
  }

  #learn(n: number, records: readonly MemberRecord[]): void {
    const machine = this.machines[n]!;
    for (const record of records) {
      this.#perform(n, machine.learn(record, this.#nowMs));
    }
    this.#check(machine);
  }

  #gossip(machine: Membership): Gossip {
    const gossip = machine.gossip(this.#nowMs);
    if (gossip.news.length > 0) this.#sent.push(gossip);
    return gossip;
  }

  #deliver(n: number, gossip: Gossip): void {
    const machine = this.machines[n];
    if (!machine || this.#paused.has(n)) return;
    this.#perform(n, machine.receive(gossip, this.#nowMs));
    this.#check(machine);
  }

  /** One VM's record of another never goes back: neither to an older process nor from draining to not draining. */
  #check(machine: Membership): void {
    for (const record of machine.all()) {
      const key = `${machine.self.id}/${machine.self.incarnation}/${record.id}`;
      const before = this.#seen.get(key);
      this.#seen.set(key, record);
      if (!this.#hadFault && record.status !== "live") {
        this.violations.push(`${key} is ${record.status} without a fault`);
      }
      if (!before || record.incarnation > before.incarnation) continue;
      if (record.incarnation < before.incarnation) {
        this.violations.push(`${key} went back to an older process`);
      } else if (before.leaving && !record.leaving) {
        this.violations.push(`${key} stopped leaving`);
      }
    }
  }
}

function stateOf(record: MemberRecord): string {
  const state = record.leaving ? "leaving" : record.status;
  return `${record.id}@${record.incarnation}:${state}`;
}

const vm = fc.nat({ max: VMS - 1 });
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: passStep() },
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constantFrom("cut" as const, "heal" as const),
      a: vm,
      b: vm,
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constantFrom(
        "crash" as const,
        "restart" as const,
        "pause" as const,
        "resume" as const,
        "leave" as const,
      ),
      a: vm,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant("replay" as const),
      a: vm,
      message: fc.nat({ max: 10_000 }),
    }),
  },
);

function passStep(): fc.Arbitrary<Step> {
  return fc.record({
    type: fc.constant("pass" as const),
    ms: fc.nat({ max: 5000 }),
  });
}

interface Search {
  readonly runs: number;
  readonly seed: number;
  /** Only violations that match this count; all if absent. */
  readonly rule?: RegExp;
  /** Whether to look for the shortest schedule. */
  readonly shrink?: boolean;
}

/** Runs schedules. A violated rule is thrown with the schedule, its seed and its path, by which it can be replayed. */
function search(
  make: MakeMembership,
  { runs, seed, rule, shrink }: Search,
): void {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 14 }), (steps) => {
      const region = new SimRegion(make);
      region.run(steps);
      region.settle();
      const found = region.violations.filter((text) =>
        rule?.test(text) ?? true
      );
      if (found.length > 0) throw new Error(found.slice(0, 3).join("; "));
    }),
    {
      numRuns: runs,
      seed,
      endOnFailure: !shrink,
      includeErrorInReport: true,
    },
  );
}

const RUNS = Number(process.env.FUZZ_RUNS ?? 2000);

function checkCaught(
  t: ExecutionContext,
  make: MakeMembership,
  rule: RegExp,
): void {
  t.throws(() => search(make, { runs: 3000, seed: 1, rule }), {
    message: rule,
  });
}

describe("membership > schedules", () => {
  // Schedules mix link cuts (also one-way), crashes, restarts, pauses, planned stops and old messages that arrive
  // again. Meanwhile no VM's records go back; afterwards all running VMs agree on which VMs run.
  it("never goes back, and all VMs agree once the faults end", (t) => {
    t.notThrows(() =>
      search((self) => new Membership(self), {
        runs: RUNS,
        seed: 20261,
        shrink: true,
      })
    );
  });

  describe("the checker finds a broken machine", () => {
    it("that never refutes what others say of it", (t) => {
      class NeverRefutes extends Membership {
        override learn(
          record: MemberRecord,
          nowMs: number,
        ): MembershipOutput[] {
          if (record.id === this.self.id) return [];
          return super.learn(record, nowMs);
        }
      }
      const make: MakeMembership = (self) => new NeverRefutes(self);
      checkCaught(t, make, / sees /);
    });

    it("that accepts any record as newer", (t) => {
      class AcceptsAnyRecord extends Membership {
        protected override replaces(a: MemberRecord, b: MemberRecord): boolean {
          return a.id !== this.self.id || replaces(a, b);
        }
      }
      const make: MakeMembership = (self) => new AcceptsAnyRecord(self);
      checkCaught(t, make, /older process|stopped leaving/);
    });

    it("that never revives a dead VM", (t) => {
      class NeverRevives extends Membership {
        protected override replaces(a: MemberRecord, b: MemberRecord): boolean {
          return b.status !== "dead" && replaces(a, b);
        }
      }
      const make: MakeMembership = (self) => new NeverRevives(self);
      checkCaught(t, make, / sees /);
    });

    it("that does not contact VMs it once knew", (t) => {
      const times = { ...DEFAULT_MEMBERSHIP_TIMES, meetMs: 1e9 };
      const make: MakeMembership = (self) => new Membership(self, times);
      checkCaught(t, make, / sees /);
    });
  });
});
