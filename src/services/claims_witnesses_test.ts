import { describe, it } from "../base/describe.ts";
import { WITNESS_RETENTION_MS, WitnessList } from "./claims_witnesses.ts";
import type { VmInfo } from "./messages.ts";

const me = { id: "a", incarnation: 1 };
const other = { id: "b", incarnation: 1 };
const third = { id: "c", incarnation: 1 };

function vm(id: string, failureDomain: string): VmInfo {
  return {
    id,
    incarnation: 1,
    region: "agadir",
    failureDomain,
    peerAddress: "",
    callerUrl: "",
    state: "live",
    tableVersion: 1,
  };
}

describe("witnesses", () => {
  it("are first chosen from other failure domains", (t) => {
    const here = [vm("a", "x"), vm("b", "x"), vm("c", "y")];
    t.deepEqual(new WitnessList().choose(me, [me, other, third], here, 0), [
      third,
      other,
    ]);
  });

  // The only other VM of a region is suspected for some seconds. It stays listed and is removed only after a long
  // absence. If another VM is available, that one replaces it at once.
  it("stay listed during a short absence of the only other VM", (t) => {
    const list = new WitnessList();
    const here = [vm("a", "x"), vm("b", "x"), vm("c", "x")];
    t.deepEqual(list.choose(me, [me, other], here, 0), [other]);
    t.deepEqual(list.choose(me, [me], here, WITNESS_RETENTION_MS - 1), [other]);
    t.deepEqual(list.choose(me, [me, third], here, WITNESS_RETENTION_MS - 1), [
      third,
    ]);
    t.deepEqual(list.choose(me, [me], here, WITNESS_RETENTION_MS), [third]);
    t.deepEqual(list.choose(me, [me], here, 3 * WITNESS_RETENTION_MS), []);
  });
});
