import { describe, it } from "../base/describe.ts";
import { ORIGIN_TTL_MS, OwnStreams, toOriginRows } from "./mod.ts";

function keysOf(streams: OwnStreams, nowMs: number): string[] {
  return [...streams.all(nowMs)].map(([key]) => key);
}

describe("the streams that began at a VM", () => {
  it("may be taken up while they run, and after they broke off, but not when they are whole", (t) => {
    const streams = new OwnStreams();
    for (const key of ["running", "broken", "whole"]) {
      streams.begin(key, "s", "v1");
    }
    t.true(streams.end("broken", false, 1_000));
    t.true(streams.end("whole", true, 1_000));
    t.false(streams.end("whole", false, 1_000));
    t.deepEqual([...streams.open.keys()], ["running"]);
    t.deepEqual(keysOf(streams, 1_000), ["broken", "running"]);
    t.deepEqual(keysOf(streams, 1_000 + ORIGIN_TTL_MS), ["running"]);
  });

  it("have no version if it can't be told which one began them", (t) => {
    const streams = new OwnStreams();
    streams.begin("a", "s", "v1");
    streams.end("a", false, 0);
    streams.doubt("a");
    streams.doubt("b");
    t.deepEqual(
      [...streams.all(0)].map(([key, { version }]) => [key, version]),
      [
        ["a", null],
      ],
    );
  });

  it("are kept in a bounded number after they broke off, the latest ones", (t) => {
    const streams = new OwnStreams();
    for (let index = 0; index < 2_100; index++) {
      streams.begin(String(index), "s", "v1");
      streams.end(String(index), false, index);
    }
    const keys = keysOf(streams, 2_100);
    t.is(keys.length, 2_048);
    t.is(keys.at(-1), "2099");
  });

  it("are told in one row for each version", (t) => {
    t.deepEqual(
      toOriginRows([["aaaaaaaa", "v1"], ["bbbbbbbb", null], [
        "cccccccc",
        "v1",
      ]]),
      [["v1", "aaaaaaaacccccccc"], [null, "bbbbbbbb"]],
    );
  });
});
