import { describe, it } from "../base/describe.ts";
import { isReader, READERS, type ReaderVm } from "./mod.ts";

function region(size: number, isServed: (id: string) => boolean): ReaderVm[] {
  return Array.from({ length: size }, (_, i) => `vm-${i}`).map((id) => ({
    id,
    isServed: isServed(id),
  }));
}

function readersOf(vms: readonly ReaderVm[]): string[] {
  return vms.filter(({ id }) =>
    isReader(id, vms.filter((other) => other.id !== id))
  ).map(({ id }) => id);
}

describe("readers of a region", () => {
  it("are three of thirty when the store serves them", (t) => {
    t.is(readersOf(region(30, () => true)).length, READERS);
  });

  it("are all VMs of a small region", (t) => {
    t.is(readersOf(region(READERS, () => true)).length, READERS);
  });

  // The store turns away the VMs that ask for all: the others would learn nothing more.
  it("are replaced when the store turns them away, and ask on", (t) => {
    const first = new Set(readersOf(region(30, () => true)));
    const now = readersOf(region(30, (id) => !first.has(id)));
    t.is(now.length, 2 * READERS);
    t.true([...first].every((id) => now.includes(id)));
  });

  it("are all while the store serves nobody", (t) => {
    t.is(readersOf(region(10, () => false)).length, 10);
  });
});
