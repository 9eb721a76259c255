import { describe, it } from "../base/describe.ts";
import {
  decodeVersionRecord,
  encodeVersionRecord,
  type Moment,
  ORIGIN_TTL_MS,
  ServedVersions,
} from "./mod.ts";

function at(ms: number): Moment {
  return { monoMs: ms, wallMs: ms };
}

describe("the versions of a service", () => {
  it("count as long as a stream may be taken up again that one of them began", (t) => {
    const served = new ServedVersions(at(0));
    served.note("s", "v1", 0);
    served.note("s", "v1.2", 1);
    t.deepEqual(served.recent("s", ORIGIN_TTL_MS - 1), ["v1", "v1.2"]);
    t.deepEqual(served.recent("s", ORIGIN_TTL_MS), ["v1.2"]);
    t.deepEqual(served.recent("other", 0), []);
  });

  it("may have changed before a VM that has just started saw them", (t) => {
    const served = new ServedVersions(at(1_000));
    t.false(served.knowsAll(ORIGIN_TTL_MS));
    t.true(served.knowsAll(1_000 + ORIGIN_TTL_MS));
  });

  it("are known to a VM that has read which ones served before it", (t) => {
    const served = new ServedVersions(at(0));
    served.note("s", "v2", 0);
    served.noteRecord(new Map([["s", ["v1"]]]), 10);
    t.true(served.knowsAll(10));
    t.deepEqual(served.recent("s", 20), ["v2", "v1"]);
    served.note("s", "v2", ORIGIN_TTL_MS);
    t.deepEqual(served.record(10 + ORIGIN_TTL_MS), new Map([["s", ["v2"]]]));
  });

  for (
    const [held, later] of [
      ["was held up", at(90_000)],
      ["was suspended", { monoMs: 50_100, wallMs: 90_000 }],
    ] as const
  ) {
    it(`may have changed while a VM ${held}`, (t) => {
      const served = new ServedVersions(at(0));
      served.noteRecord(new Map(), 0);
      t.false(served.noteWatching(at(1_000)));
      for (let ms = 2_000; ms <= 50_000; ms += 1_000) {
        t.false(served.noteWatching(at(ms)));
      }
      t.true(served.knowsAll(50_000));
      t.true(served.noteWatching(later));
      t.false(served.knowsAll(later.monoMs));
    });
  }
});

describe("the record of versions", () => {
  it("is the same text for the same versions, in whichever order they were seen", (t) => {
    const first = new ServedVersions(at(0));
    first.note("s", "v1", 0);
    first.note("a", "v1", 0);
    first.note("s", "v0", 0);
    const second = new ServedVersions(at(0));
    for (const [service, version] of [["s", "v0"], ["s", "v1"], ["a", "v1"]]) {
      second.note(service, version, 0);
    }
    const text = encodeVersionRecord(first.record(0));
    t.is(encodeVersionRecord(second.record(0)), text);
    t.deepEqual(decodeVersionRecord(text), first.record(0));
  });

  for (const text of ["", "{}", "[1]", '[["s",[1]]]', '[["s"]]', "null"]) {
    it(`is not read from ${text || "nothing"}`, (t) => {
      t.is(decodeVersionRecord(text), undefined);
    });
  }
});
