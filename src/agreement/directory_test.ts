import { describe, it } from "../base/describe.ts";
import { rankForWorkspace } from "./directory.ts";

const vms = Array.from({ length: 7 }, (_, n) => ({
  id: `vm${n}`,
  region: "agadir",
  failureDomain: n < 5 ? "agadir-1" : "agadir-2",
  state: "live" as const,
}));

const workspaces = Array.from({ length: 200 }, (_, n) => `workspace${n}`);

describe("directory > ranking", () => {
  it("omits draining VMs, lists no VM twice, and its weights add up to 1", (t) => {
    const some = vms.map((vm, n) =>
      n === 3 ? { ...vm, state: "leaving" as const } : vm
    );
    for (const workspace of workspaces) {
      const ranked = rankForWorkspace(workspace, some);
      const ids = ranked.map(({ vm }) => vm.id);
      t.false(ids.includes("vm3"));
      t.is(new Set(ids).size, 6);
      const sum = ranked.reduce((total, { weight }) => total + weight, 0);
      t.true(Math.abs(sum - 1) < 0.01);
    }
  });

  it("puts a VM of another failure domain second", (t) => {
    for (const workspace of workspaces) {
      const [first, second] = rankForWorkspace(workspace, vms);
      t.not(first.vm.failureDomain, second.vm.failureDomain);
    }
  });

  it("spreads workspaces, and the loss of a VM moves only its own", (t) => {
    const rest = vms.filter((vm) => vm.id !== "vm2");
    const firsts = new Map<string, number>();
    for (const workspace of workspaces) {
      const before = rankForWorkspace(workspace, vms)[0].vm.id;
      const after = rankForWorkspace(workspace, rest)[0].vm.id;
      if (before !== "vm2") t.is(after, before);
      firsts.set(before, (firsts.get(before) ?? 0) + 1);
    }
    for (const vm of vms) t.true((firsts.get(vm.id) ?? 0) >= 10);
  });

  it("is empty without a live VM", (t) => {
    t.deepEqual(rankForWorkspace("w", []), []);
  });
});
