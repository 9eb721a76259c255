import { describe, it } from "../base/describe.ts";
import {
  isReader,
  leadCount,
  leadOrder,
  LEADS,
  READERS,
  type ReaderVm,
  STANDBYS,
  type VmRecord,
} from "./mod.ts";

function vm(index: number, domains: number, cores = 0.3): VmRecord {
  return {
    id: `vm-${index}`,
    ip: `10.0.0.${index}`,
    region: "north",
    failureDomain: `north-${index % domains}`,
    bornMs: 1,
    cores,
  };
}

function region(size: number, isServed: (id: string) => boolean): ReaderVm[] {
  return leadOrder(Array.from({ length: size }, (_, i) => vm(i, 2)))
    .slice(0, LEADS + STANDBYS)
    .map(({ id }) => ({ id, isServed: isServed(id) }));
}

function readersOf(order: readonly ReaderVm[], size: number): string[] {
  return Array.from({ length: size }, (_, i) => `vm-${i}`)
    .filter((id) => isReader(id, order));
}

describe("leads of a region", () => {
  // A failure domain is lost whole: a region whose leads all stood there would have none.
  it("stand in more than one failure domain", (t) => {
    const vms = Array.from({ length: 30 }, (_, i) => vm(i, 2));
    const domains = leadOrder(vms).slice(0, LEADS)
      .map(({ failureDomain }) => failureDomain);
    t.is(new Set(domains).size, 2);
  });

  it("are the strongest of their domain, whatever the order of the list", (t) => {
    const vms = Array.from({ length: 30 }, (_, i) => vm(i, 2, i < 4 ? 1.3 : 1));
    const first = leadOrder(vms).slice(0, 4);
    t.true(first.every(({ cores }) => cores === 1.3));
    t.deepEqual(leadOrder([...vms].reverse()), leadOrder(vms));
  });

  // VMs know the head of the order only; what they make of it must be what the leads made of the whole.
  it("are the same for who knows only the head of the order", (t) => {
    const order = leadOrder(Array.from({ length: 50 }, (_, i) => vm(i, 3)));
    const head = order.slice(0, LEADS + STANDBYS);
    t.deepEqual(leadOrder(head), head);
    t.deepEqual(
      leadOrder([...head, order[40]]).slice(0, LEADS + STANDBYS),
      head,
    );
  });

  it("are all VMs of a small region, and three of a large one", (t) => {
    t.deepEqual([1, 3, 4, 5, 65].map(leadCount), [1, 3, 4, LEADS, LEADS]);
  });
});

describe("readers of a region", () => {
  it("are three of thirty when the store serves them", (t) => {
    t.is(readersOf(region(30, () => true), 30).length, READERS);
  });

  it("are all VMs of a small region", (t) => {
    t.is(readersOf(region(READERS, () => true), READERS).length, READERS);
  });

  // The store turns away the VMs that ask for all: the others would learn nothing more.
  it("are joined by the standbys when the store turns them away, and ask on", (t) => {
    const first = new Set(readersOf(region(30, () => true), 30));
    const now = readersOf(region(30, (id) => !first.has(id)), 30);
    t.is(now.length, READERS + STANDBYS);
    t.true([...first].every((id) => now.includes(id)));
  });

  // An outage must not cost calls that grow with the region: each one is refused and paid for.
  it("are a few while the store serves nobody", (t) => {
    t.is(readersOf(region(60, () => false), 60).length, READERS + STANDBYS);
  });
});
