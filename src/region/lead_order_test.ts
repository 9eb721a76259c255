import { describe, it } from "../base/describe.ts";
import {
  countLeads,
  isReader,
  LEAD_COUNT,
  orderLeads,
  READER_COUNT,
  type ReaderCandidate,
  STANDBY_COUNT,
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

function leadOrder(
  size: number,
  isServed: (id: string) => boolean,
): ReaderCandidate[] {
  return orderLeads(Array.from({ length: size }, (_, i) => vm(i, 2)))
    .slice(0, LEAD_COUNT + STANDBY_COUNT)
    .map(({ id }) => ({ id, isServed: isServed(id) }));
}

function readerIds(order: readonly ReaderCandidate[], size: number): string[] {
  return Array.from({ length: size }, (_, i) => `vm-${i}`)
    .filter((id) => isReader(id, order));
}

describe("leads of a region", () => {
  // A failure domain is lost whole: a region whose leads all stood there would have none.
  it("stand in more than one failure domain", (t) => {
    const vms = Array.from({ length: 30 }, (_, i) => vm(i, 2));
    const domains = orderLeads(vms).slice(0, LEAD_COUNT)
      .map(({ failureDomain }) => failureDomain);
    t.is(new Set(domains).size, 2);
  });

  it("are the strongest of their domain, whatever the order of the list", (t) => {
    const vms = Array.from({ length: 30 }, (_, i) => vm(i, 2, i < 4 ? 1.3 : 1));
    const first = orderLeads(vms).slice(0, 4);
    t.true(first.every(({ cores }) => cores === 1.3));
    t.deepEqual(orderLeads([...vms].reverse()), orderLeads(vms));
  });

  // VMs know the head of the order only; what they make of it must be what the leads made of the whole.
  it("are the same for who knows only the head of the order", (t) => {
    const order = orderLeads(Array.from({ length: 50 }, (_, i) => vm(i, 3)));
    const head = order.slice(0, LEAD_COUNT + STANDBY_COUNT);
    t.deepEqual(orderLeads(head), head);
    t.deepEqual(
      orderLeads([...head, order[40]]).slice(0, LEAD_COUNT + STANDBY_COUNT),
      head,
    );
  });

  it("are all VMs of a small region, and three of a large one", (t) => {
    t.deepEqual([1, 3, 4, 5, 65].map(countLeads), [
      1,
      3,
      4,
      LEAD_COUNT,
      LEAD_COUNT,
    ]);
  });
});

describe("readers of a region", () => {
  it("are three of thirty when the store serves them", (t) => {
    t.is(readerIds(leadOrder(30, () => true), 30).length, READER_COUNT);
  });

  it("are all VMs of a small region", (t) => {
    t.is(
      readerIds(leadOrder(READER_COUNT, () => true), READER_COUNT).length,
      READER_COUNT,
    );
  });

  // The store turns away the VMs that ask for all: the others would learn nothing more.
  it("are joined by the standbys when the store turns them away, and ask on", (t) => {
    const first = new Set(readerIds(leadOrder(30, () => true), 30));
    const now = readerIds(leadOrder(30, (id) => !first.has(id)), 30);
    t.is(now.length, READER_COUNT + STANDBY_COUNT);
    t.true([...first].every((id) => now.includes(id)));
  });

  // An outage must not cost calls that grow with the region: each one is refused and paid for.
  it("are a few while the store serves nobody", (t) => {
    t.is(
      readerIds(leadOrder(60, () => false), 60).length,
      READER_COUNT + STANDBY_COUNT,
    );
  });
});
