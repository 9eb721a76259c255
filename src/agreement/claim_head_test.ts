import { describe, it } from "../base/describe.ts";
import {
  decideTakeover,
  DEFAULT_SHARD_LIMITS,
  type ShardHead,
  type TakeoverDecision,
  type TakeoverView,
} from "./mod.ts";

const vm = (id: string, incarnation = 1) => ({ id, incarnation });

const head: ShardHead = {
  format: 1,
  shardCount: 1,
  epoch: 3,
  commit: 9,
  owner: vm("a"),
  witnesses: [vm("b"), vm("c")],
  nextN: 5,
  firstSegment: 0,
  nextSegment: 0,
  touchedAtMs: 1_000_000,
  doubtUntilMs: 0,
  open: [],
};

const view: TakeoverView = {
  me: vm("b"),
  live: [vm("c")],
  nowMs: 1_060_000,
  monoMs: 500_000,
  promisedUntilMonoMs: -Infinity,
  unchangedSinceMonoMs: 440_000,
};

interface Case {
  readonly what: string;
  readonly head?: ShardHead;
  readonly view: Partial<TakeoverView>;
  readonly decision: TakeoverDecision;
}

const cases: readonly Case[] = [
  {
    what: "a witness that has given no promise",
    view: {},
    decision: "complete",
  },
  {
    what: "a witness whose promise has not expired",
    view: { promisedUntilMonoMs: 500_001 },
    decision: "no",
  },
  {
    what: "a witness that has restarted since",
    view: { me: vm("b", 2) },
    decision: "no",
  },
  { what: "a VM that is not a witness", view: { me: vm("d") }, decision: "no" },
  {
    what: "the owner, restarted before it could grant from memory",
    view: { me: vm("a", 2), live: [vm("b"), vm("c")], nowMs: 1_004_000 },
    decision: "complete",
  },
  {
    what: "the owner, restarted later, while a witness may hold its grants",
    view: { me: vm("a", 2), live: [vm("b"), vm("c", 2)] },
    decision: "no",
  },
  {
    what: "the owner, restarted after all witnesses have restarted too",
    view: { me: vm("a", 2), live: [vm("b", 2), vm("c", 2)] },
    decision: "lossy",
  },
  {
    what: "a VM that sees neither owner nor witnesses, before the outage limit",
    view: { me: vm("d"), live: [], unchangedSinceMonoMs: -13_000_000 },
    decision: "no",
  },
  {
    what: "a VM that sees neither owner nor witnesses, after the outage limit",
    view: { me: vm("d"), live: [], unchangedSinceMonoMs: -14_000_000 },
    decision: "lossy",
  },
  {
    what: "a head without witnesses",
    head: { ...head, witnesses: [] },
    view: { me: vm("d") },
    decision: "complete",
  },
  {
    what: "a head whose owner released the shard",
    head: { ...head, owner: undefined },
    view: { me: vm("d") },
    decision: "complete",
  },
  {
    what: "a head that names this same run as owner",
    view: { me: vm("a") },
    decision: "lossy",
  },
];

describe("claim shard takeover", () => {
  for (const { what, head: other, view: more, decision } of cases) {
    it(`${what}: ${decision}`, (t) => {
      const seen = { ...view, ...more };
      t.is(decideTakeover(other ?? head, seen, DEFAULT_SHARD_LIMITS), decision);
    });
  }
  it("a missing head: complete", (t) => {
    t.is(decideTakeover(undefined, view, DEFAULT_SHARD_LIMITS), "complete");
  });
});
