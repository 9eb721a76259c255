import { Random } from "../base/mod.ts";
import { describe, it } from "../base/describe.ts";
import {
  type CrashRow,
  encodeCrashes,
  type StoredSuspect,
  SuspectPublisher,
  SuspectRecords,
  SuspectTracker,
} from "./mod.ts";

const TICK_MS = 2_000;
const LEADS = 2;
/** Requests were sent before all crashes, so a crash of an upstream has one name at all VMs. */
const SENT_AGO_MS = 3_600_000;
/** Upstreams of the random runs, more than a request's entry holds. */
const RANDOM_UPSTREAMS = 30;
/** Longer than any VM resends what it saw in any case. */
const LONG_MS = 30_000;
/** Time in which all VMs have to agree once they reach each other. */
const SETTLE_MS = 20_000;
const RANDOM_RUNS = 200;
const RANDOM_STEPS = 60;
const LOSS_SHARE = 0.2;
const MAX_MESSAGES_PER_TICK = 1;

/** A store that always takes what it is given, and keeps nothing. */
class NoRecords extends SuspectRecords {
  list(): Promise<readonly StoredSuspect[]> {
    return Promise.resolve([]);
  }

  put(): Promise<boolean> {
    return Promise.resolve(true);
  }

  acquireTrial(): Promise<boolean> {
    return Promise.resolve(true);
  }

  releaseTrial(): Promise<void> {
    return Promise.resolve();
  }

  delete(): Promise<boolean> {
    return Promise.resolve(true);
  }
}

interface Vm {
  readonly region: string;
  readonly tracker: SuspectTracker;
  /** VMs reach each other if their parts of the network are the same. */
  part: number;
  /** Whether it sends, but receives nothing. */
  isDeaf: boolean;
}

/** VMs of some regions that report to leads as the gateway's do: the first VMs of each region that reach each other. */
class Network {
  readonly vms: Vm[] = [];
  nowMs = 0;
  /** Share of messages that are lost. */
  lossShare = 0;
  readonly #random: Random;
  /** Messages of the current tick by receiver. */
  #received = new Map<Vm, number>();
  mostReceived = 0;

  constructor(regions: readonly string[], seed = 1) {
    this.#random = new Random(seed);
    for (const region of regions) this.add(region);
  }

  add(region: string): Vm {
    const publisher = new (class extends SuspectPublisher {
      constructor(readonly send: (rows: readonly CrashRow[]) => void) {
        super();
      }
      publish(rows: readonly CrashRow[]): void {
        this.send(rows);
      }
      noteEvent(): void {}
    })((rows) => this.#publish(vm, rows, true));
    const tracker = new SuspectTracker(
      publisher,
      new NoRecords(),
      () => this.nowMs,
      { sleep: () => Promise.resolve(), mayAsk: () => true },
    );
    const vm: Vm = { region, tracker, part: 0, isDeaf: false };
    this.vms.push(vm);
    return vm;
  }

  /** Replaces a VM by one that knows nothing and comes last in its region. */
  restart(vm: Vm): Vm {
    this.vms.splice(this.vms.indexOf(vm), 1);
    return this.add(vm.region);
  }

  run(forMs: number): void {
    for (const endMs = this.nowMs + forMs; this.nowMs < endMs;) {
      this.nowMs += TICK_MS;
      this.#received = new Map();
      for (const vm of [...this.vms]) {
        vm.tracker.republish(this.#leads(vm, vm.region)[0] === vm);
      }
      this.mostReceived = Math.max(
        this.mostReceived,
        ...this.#received.values(),
      );
    }
  }

  /** Lets all VMs reach each other without loss, until they should agree. */
  settle(forMs = SETTLE_MS): void {
    this.lossShare = 0;
    for (const vm of this.vms) Object.assign(vm, { part: 0, isDeaf: false });
    this.run(forMs);
  }

  /** What each VM takes a request for, where VMs that agree count once. */
  statuses(digest: string): string[] {
    return [...new Set(this.vms.map((vm) => vm.tracker.statusOf(digest)))];
  }

  #leads({ part }: Vm, region: string): Vm[] {
    return this.vms.filter((vm) => vm.part === part && vm.region === region)
      .slice(0, LEADS);
  }

  #publish(from: Vm, rows: readonly CrashRow[], isFromRegion: boolean): void {
    const leads = this.#leads(from, from.region);
    if (!leads.includes(from)) return this.#send(from, leads, rows);
    const { part, region } = from;
    const reached = this.vms.filter((vm) => vm.part === part);
    this.#send(from, reached.filter((vm) => vm.region === region), rows);
    if (!isFromRegion) return;
    const regions = new Set(reached.map((vm) => vm.region));
    regions.delete(region);
    for (const other of regions) {
      this.#send(from, this.#leads(from, other), rows);
    }
  }

  #send(from: Vm, to: readonly Vm[], rows: readonly CrashRow[]): void {
    const messages = encodeCrashes(from.region, rows);
    for (const vm of to) {
      if (vm === from || vm.isDeaf) continue;
      for (const { rows } of messages) {
        if (this.#random.next() >= this.lossShare) this.#pass(from, vm, rows);
      }
    }
  }

  #pass(from: Vm, to: Vm, rows: readonly CrashRow[]): void {
    this.#received.set(to, (this.#received.get(to) ?? 0) + 1);
    const leads = this.#leads(to, to.region);
    const newRows = to.tracker.merge(rows, leads[0] === from);
    if (newRows.length === 0 || !leads.includes(to)) return;
    this.#publish(to, newRows, from.region === to.region);
  }
}

function crash(vm: Vm, digest: string, upstreams: readonly string[]): void {
  for (const upstream of upstreams) {
    vm.tracker.noteCrash([digest], upstream, SENT_AGO_MS);
  }
}

/** Performs random crashes, answers, cuts and returns. */
function disturb(network: Network, random: Random): void {
  const vm = random.pick(network.vms);
  const digest = random.pick(["r", "s"]);
  const [chance, part] = [random.next(), random.next() < 0.6 ? 0 : 1];
  if (chance < 0.3) crash(vm, digest, [`u${random.int(RANDOM_UPSTREAMS)}`]);
  else if (chance < 0.45) vm.tracker.clear([digest]);
  else if (chance < 0.75) vm.part = part;
  else network.run(random.int(8) * TICK_MS);
}

const ONE_REGION = ["a", "a", "a", "a", "a", "a"];
const TWO_REGIONS = ["a", "b", "a", "b", "a", "b", "a", "b"];

describe("suspects", () => {
  describe("known to VMs of which some were cut off", () => {
    for (const crashes of [1, 3]) {
      const upstreams = ["u", "v", "w"].slice(0, crashes);
      for (const cutOff of [0, 1, 5]) {
        const title =
          `clear a good request at VM ${cutOff} that was cut off, after ${crashes} crashes`;
        it(title, (t) => {
          const network = new Network(ONE_REGION);
          crash(network.vms[3], "r", upstreams);
          network.vms[cutOff].part = 1;
          network.vms[4].tracker.clear(["r"]);
          network.run(LONG_MS);
          network.settle();
          t.deepEqual(network.statuses("r"), ["clear"]);
        });
      }
    }

    it("clear a good request in a region that was cut off", (t) => {
      const network = new Network(TWO_REGIONS);
      crash(network.vms[2], "r", ["u", "v", "w"]);
      for (const vm of network.vms) vm.part = vm.region === "a" ? 0 : 1;
      network.vms[3].tracker.clear(["r"]);
      network.run(LONG_MS);
      network.settle();
      t.deepEqual(network.statuses("r"), ["clear"]);
    });

    it("clear a good request at a VM that started while the lead did not know", (t) => {
      const network = new Network(ONE_REGION);
      crash(network.vms[3], "r", ["u", "v", "w"]);
      network.vms[0].part = 1;
      network.vms[4].tracker.clear(["r"]);
      network.run(LONG_MS);
      network.restart(network.vms[2]);
      network.settle();
      t.deepEqual(network.statuses("r"), ["clear"]);
    });

    it("clear a good request at a lead that was cut off until those that led meanwhile were lost", (t) => {
      const network = new Network(ONE_REGION);
      crash(network.vms[3], "r", ["u", "v", "w"]);
      network.vms[0].part = 1;
      network.vms[4].tracker.clear(["r"]);
      network.run(LONG_MS);
      network.restart(network.vms[1]);
      network.settle();
      t.deepEqual(network.statuses("r"), ["clear"]);
    });

    it("clear each of many good requests at a VM that received nothing meanwhile", (t) => {
      const network = new Network(ONE_REGION);
      const digests = Array.from({ length: 100 }, (_, at) => `good${at}`);
      for (const digest of digests) crash(network.vms[3], digest, ["u"]);
      network.vms[5].isDeaf = true;
      for (const digest of digests) network.vms[3].tracker.clear([digest]);
      network.run(LONG_MS);
      network.settle();
      for (const digest of digests) {
        t.deepEqual(network.statuses(digest), ["clear"], digest);
      }
    });

    it("refuse a request everywhere that crashed upstreams while the lead received nothing", (t) => {
      const network = new Network(ONE_REGION);
      network.vms[0].isDeaf = true;
      crash(network.vms[4], "r", ["u", "v", "w", "x"]);
      network.run(LONG_MS);
      network.settle();
      t.deepEqual(network.statuses("r"), ["rejected"]);
    });

    it("send a lead no more than a message at a time while the first one receives nothing", (t) => {
      const network = new Network(ONE_REGION);
      network.vms[0].isDeaf = true;
      for (let at = 0; at < 500; at++) {
        crash(network.vms[5], `r${at}`, ["u"]);
      }
      network.run(LONG_MS);
      network.mostReceived = 0;
      network.run(LONG_MS);
      t.is(network.mostReceived, MAX_MESSAGES_PER_TICK);
    });

    it("refuse a request everywhere whose crashes a VM saw while it was cut off", (t) => {
      const network = new Network(ONE_REGION);
      network.vms[5].part = 1;
      crash(network.vms[5], "r", ["u", "v", "w", "x"]);
      network.run(LONG_MS);
      network.settle();
      t.deepEqual(network.statuses("r"), ["rejected"]);
    });

    it("refuse a request everywhere that crashed upstreams while the lead was cut off", (t) => {
      const network = new Network(ONE_REGION);
      network.vms[0].part = 1;
      crash(network.vms[4], "r", ["u", "v", "w", "x"]);
      network.run(LONG_MS);
      network.settle();
      t.deepEqual(network.statuses("r"), ["rejected"]);
    });

    it("send each VM no more than a message at rest, however many requests were cleared", (t) => {
      const network = new Network(ONE_REGION);
      for (let at = 0; at < 500; at++) {
        crash(network.vms[at % 6], `good${at}`, ["u"]);
        network.vms[at % 6].tracker.clear([`good${at}`]);
      }
      network.run(LONG_MS * 4);
      network.mostReceived = 0;
      network.run(LONG_MS);
      t.true(
        network.mostReceived <= MAX_MESSAGES_PER_TICK,
        `${network.mostReceived} messages`,
      );
    });

    it("end the same at every VM after random crashes, answers, cuts and losses", (t) => {
      for (let seed = 1; seed <= RANDOM_RUNS; seed++) {
        const network = new Network(seed % 2 ? ONE_REGION : TWO_REGIONS, seed);
        const random = new Random(seed);
        network.lossShare = LOSS_SHARE;
        for (let step = 0; step < RANDOM_STEPS; step++) {
          disturb(network, random);
        }
        network.settle();
        for (const digest of ["r", "s"]) {
          t.is(network.statuses(digest).length, 1, `seed ${seed}, ${digest}`);
        }
      }
    });
  });
});
