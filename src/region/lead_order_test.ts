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
  // A failure domain can be lost as a whole. If all leads were in it, the region would have none left.
  it("are in more than one failure domain", (t) => {
    const vms = Array.from({ length: 30 }, (_, i) => vm(i, 2));
    const domains = orderLeads(vms).slice(0, LEAD_COUNT)
      .map(({ failureDomain }) => failureDomain);
    t.is(new Set(domains).size, 2);
  });

  it("have the most cores of their domain, whatever the order of the input", (t) => {
    const vms = Array.from({ length: 30 }, (_, i) => vm(i, 2, i < 4 ? 1.3 : 1));
    const first = orderLeads(vms).slice(0, 4);
    t.true(first.every(({ cores }) => cores === 1.3));
    t.deepEqual(orderLeads([...vms].reverse()), orderLeads(vms));
  });

  // Most VMs know only the head of the order. They must derive the same order from it as the leads from all VMs.
  it("are the same on a VM that knows only the head of the order", (t) => {
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

  // If the store refuses the readers and no other VM asks, the region gets no more changes.
  it("go on asking, together with the standbys, when the store refuses them", (t) => {
    const first = new Set(readerIds(leadOrder(30, () => true), 30));
    const now = readerIds(leadOrder(30, (id) => !first.has(id)), 30);
    t.is(now.length, READER_COUNT + STANDBY_COUNT);
    t.true([...first].every((id) => now.includes(id)));
  });

  // The number of calls in an outage must not grow with the region, as each call is refused and still costs.
  it("are few while the store refuses all VMs", (t) => {
    t.is(
      readerIds(leadOrder(60, () => false), 60).length,
      READER_COUNT + STANDBY_COUNT,
    );
  });
});
