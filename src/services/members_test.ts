import type { ExecutionContext } from "ava";
import {
  makePlanTable,
  openRegion,
  Vm,
  waitUntil,
  waitUntilAgreed,
} from "../../test/vms.ts";
import { describe, it } from "../base/describe.ts";

const table = makePlanTable(1, ["agadir"], 2, 8);

async function startRegion(t: ExecutionContext, count: number): Promise<Vm[]> {
  const vms = await openRegion("agadir", count, { table });
  t.teardown(() => Promise.all(vms.map((vm) => vm.crash())));
  await waitUntilAgreed(vms);
  return vms;
}

const vmInfoAt = async (vm: Vm, id: string) => (await vm.readRegion()).get(id);

/** Waits until no VM of `vms` lists `id`. */
function untilGone(vms: readonly Vm[], id: string): Promise<void> {
  return waitUntil(`${id} is gone`, async () => {
    for (const vm of vms) if (await vmInfoAt(vm, id)) return false;
    return true;
  });
}

describe("members", () => {
  it("joins through any known VM and spreads table versions", async (t) => {
    const vms = await startRegion(t, 5);
    vms[3].table.table = makePlanTable(7, ["agadir"], 2, 8);
    await waitUntil("all know the version of agadir-3", async () => {
      for (const vm of vms) {
        if ((await vmInfoAt(vm, "agadir-3"))?.tableVersion !== 7) return false;
      }
      return true;
    });
    t.pass();
  });

  // A VM crashes: its connections break and no VM is notified. Callers at the other VMs notice nothing as long as those
  // detect that it is dead and stop using it. No other VM may be taken for dead meanwhile.
  it("detects a crashed VM and takes no other for dead", async (t) => {
    const vms = await startRegion(t, 5);
    const [lost, ...rest] = vms;
    await lost.crash();
    await untilGone(rest, lost.id);
    await waitUntilAgreed(rest);
    t.pass();
  });

  // Half of a region crashes at once, including VMs that would confirm a death. The rest must detect all of them.
  it("detects that half of a region is gone", async (t) => {
    const vms = await startRegion(t, 6);
    const rest = vms.slice(3);
    await Promise.all(vms.slice(0, 3).map((vm) => vm.crash()));
    await waitUntilAgreed(rest);
    t.pass();
  });

  // A VM is told to stop. It must get nothing new at once, so the others learn of `leaving` from the VM itself and not
  // from a timeout. After its end it is gone without being suspected first.
  it("announces at once that it is leaving and then that it is gone", async (t) => {
    const vms = await startRegion(t, 4);
    const [leaving, ...rest] = vms;
    await leaving.members.ask("leave", undefined);
    await waitUntil("all see it leave", async () => {
      for (const vm of vms) {
        if ((await vmInfoAt(vm, leaving.id))?.state !== "leaving") return false;
      }
      return true;
    });
    await leaving.stop();
    await untilGone(rest, leaving.id);
    t.pass();
  });

  // A VM is killed, and a new process with the same name starts at the same address before any VM noticed. The others
  // must treat it as a new VM: what the old one held is lost.
  it("distinguishes a replacement at the same address from the VM before it", async (t) => {
    const vms = await startRegion(t, 4);
    const [old, ...rest] = vms;
    const before = (await vmInfoAt(rest[0], old.id))!.incarnation;
    const { id, port, region: name } = old;
    await old.crash();
    const seeds = rest.map((vm) => vm.address);
    const replacement = await Vm.open({ id, port, region: name, table, seeds });
    t.teardown(() => replacement.crash());
    await waitUntilAgreed([replacement, ...rest]);
    for (const vm of rest) {
      t.true((await vmInfoAt(vm, id))!.incarnation > before);
    }
  });

  // One direction of one link drops everything: A's pings to B are lost, while B and the others reach each other. B is
  // healthy. A asks two others to ping it, and no VM takes it for dead.
  it("keeps a VM that only one other VM cannot reach", async (t) => {
    const vms = await startRegion(t, 4);
    const [a, b] = vms;
    a.transport.faults.set("deaf", {
      peer: { vmId: b.id },
      direction: "out",
      cut: true,
    });
    const untilMs = Date.now() + 4000;
    while (Date.now() < untilMs) {
      for (const vm of vms) t.truthy(await vmInfoAt(vm, b.id));
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
  });

  // The region is partitioned into halves for longer than it takes to detect a dead VM, then the partition heals. Each
  // half continues with the VMs that it reaches. Afterwards all VMs must find each other again without an operator.
  it("continues in both halves of a partition and joins them again", async (t) => {
    const vms = await startRegion(t, 6);
    const halves = [vms.slice(0, 3), vms.slice(3)];
    for (const [mine, theirs] of [halves, [...halves].reverse()]) {
      for (const vm of mine) {
        for (const { id: vmId } of theirs) {
          vm.transport.faults.set(vmId, { peer: { vmId }, cut: true });
        }
        for (const { address } of theirs) {
          vm.transport.faults.set(address, { peer: { address }, cut: true });
        }
      }
    }
    await waitUntilAgreed(halves[0]);
    await waitUntilAgreed(halves[1]);
    for (const vm of vms) vm.transport.faults.clear();
    await waitUntilAgreed(vms);
    t.pass();
  });

  // Two regions know one address of each other. Each must learn of the other's VMs and topics from its digest, keep
  // them through the death of the VM that sent it, and drop them when the other region is unreachable.
  it("sends its VMs and topics to other regions", async (t) => {
    const agadir = await startRegion(t, 3);
    const casa = await openRegion("casablanca", 3, {
      table,
      seeds: [agadir[0].address],
    });
    t.teardown(() => Promise.all(casa.map((vm) => vm.crash())));
    await casa[1].members.ask("publish", { topic: "load/x/0", body: { n: 5 } });
    for (const vm of agadir) {
      await waitUntil("a topic of the other region", async () => {
        const topics = await vm.members.ask("topics", undefined);
        const values = topics.get("casablanca") ?? [];
        return values.some(({ topic }) => topic === "load/x/0");
      });
    }
    for (const vm of [...agadir, ...casa]) {
      const other = vm.region === "agadir" ? "casablanca" : "agadir";
      await waitUntil("VMs of the other region", async () => {
        const others = await vm.members.ask("others", undefined);
        return (others.get(other)?.length ?? 0) === 3;
      });
    }
    t.pass();
  });

  // Twenty topics do not fit into one digest.
  it("sends all its topics to other regions in turn", async (t) => {
    const agadir = await startRegion(t, 1);
    const casa = await openRegion("casablanca", 2, {
      table,
      seeds: [agadir[0].address],
    });
    t.teardown(() => Promise.all(casa.map((vm) => vm.crash())));
    for (let at = 0; at < 20; at++) {
      const topic = `load/x/${at}`;
      await casa[0].members.ask("publish", { topic, body: { n: at } });
    }
    await waitUntil("all topics of the other region", async () => {
      const topics = await agadir[0].members.ask("topics", undefined);
      const names = (topics.get("casablanca") ?? []).map((it) => it.topic);
      return names.filter((it) => it.startsWith("load/x/")).length === 20;
    });
    t.pass();
  });
});
