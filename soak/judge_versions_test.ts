import { describe, it } from "../src/base/describe.ts";
import { formatStream } from "../src/standins/mod.ts";
import type { Attempt } from "./attempts.ts";
import type { Evidence } from "./judge.ts";
import { findVersionBreaches, type Upstream } from "./judge_versions.ts";

const SENT_MS = 20_000;

/** A try that brought the events after `after` up to `last`, written by a version. */
function streamTry(
  id: string,
  version: string,
  [after, last]: readonly [number, number],
  changes: Partial<Attempt> = {},
): Attempt {
  return {
    id,
    kind: "stream",
    resumes: undefined,
    vmIndex: 0,
    sentMs: SENT_MS,
    endMs: SENT_MS + 50,
    status: 200,
    text: formatStream(after, last, version),
    canceledMs: undefined,
    ...changes,
  } as Attempt;
}

function upstream(id: string, changes: Partial<Upstream> = {}): Upstream {
  const listed = { fromMs: 0, toMs: Infinity };
  return { id, service: "s", version: "v1", ...listed, ...changes };
}

const TWO_UPSTREAMS = [upstream("r1"), upstream("r2")];

function findRules(
  attempts: readonly Attempt[],
  upstreams: readonly Upstream[] = TWO_UPSTREAMS,
  troubles: Evidence["troubles"] = [],
): string[] {
  const evidence = { attempts, upstreams, troubles } as unknown as Evidence;
  return findVersionBreaches(evidence).map(({ rule }) => rule);
}

/** Streams that `v1` began and that go on by `version` at their second try. */
function chains(count: number, version: string, vmIndex = 0): Attempt[] {
  return Array.from({ length: count }, (_, index) => [
    streamTry(`a${index}`, "v1", [0, 3]),
    streamTry(`b${index}`, version, [3, 6], { resumes: `a${index}`, vmIndex }),
  ]).flat();
}

/** Streams that are taken up again, of which `goOn` go on; as many new ones begin as `begin` says. */
function takenUp(count: number, goOn: number, begin = count): Attempt[] {
  return Array.from({ length: count }, (_, index) => {
    const refused = { status: 503, text: "" };
    const id = `a${index}`;
    // The first try of each is at a VM in touch too, and so a new stream that begins.
    const first = streamTry(id, "v1", [0, 3]);
    const resumed = streamTry(`b${index}`, "v1", [3, 6], {
      resumes: id,
      ...(index < goOn ? {} : refused),
    });
    const failed = streamTry(`c${index}`, "v1", [0, 0], refused);
    return index < begin ? [first, resumed] : [first, resumed, failed];
  }).flat();
}

describe("a soak's judge of versions", () => {
  describe("of streams with events of two versions", () => {
    it("finds each one over its caller's tries", (t) => {
      t.deepEqual(findRules(chains(3, "v2")), ["ORDER", "ORDER", "ORDER"]);
      t.deepEqual(findRules(chains(1, "v2")), ["ORDER"]);
      t.deepEqual(findRules(chains(11, "v1")), []);
    });

    it("finds each one in one answer", (t) => {
      const text = formatStream(0, 3, "v1") + formatStream(3, 6, "v2");
      const mixed = ["a", "b", "c"].map((id) =>
        streamTry(id, "v1", [0, 6], { text })
      );
      t.deepEqual(findRules(mixed), ["ORDER", "ORDER", "ORDER"]);
      t.deepEqual(findRules(mixed.slice(2)), ["ORDER"]);
    });

    it("counts a stream once, by the attempt that brought its first event", (t) => {
      const tries = [
        streamTry("a", "v1", [0, 2]),
        streamTry("b", "v2", [2, 4], { resumes: "a" }),
        streamTry("c", "v3", [4, 6], { resumes: "a" }),
      ];
      t.deepEqual(findRules(tries), ["ORDER"]);
      const more = [...tries, ...chains(2, "v2")];
      t.deepEqual(findRules(more), ["ORDER", "ORDER", "ORDER"]);
    });

    it("excuses them by no trouble", (t) => {
      const troubles = [
        { who: "vm:1", fromMs: 0, toMs: 99_000 },
        { who: "store", fromMs: 0, toMs: 99_000 },
      ];
      const mixed = chains(1, "v2", 1);
      t.deepEqual(findRules(mixed, TWO_UPSTREAMS, troubles), ["ORDER"]);
    });
  });

  describe("of streams that are taken up again", () => {
    it("finds that under half of the share of new ones goes on", (t) => {
      t.deepEqual(findRules(takenUp(12, 5)), ["LOST"]);
      t.deepEqual(findRules(takenUp(12, 6)), []);
    });

    it("compares with the new ones that begin", (t) => {
      t.deepEqual(findRules(takenUp(12, 5, 0)), []);
      t.deepEqual(findRules(takenUp(12, 2, 0)), ["LOST"]);
    });

    it("judges twelve or more", (t) => {
      t.deepEqual(findRules(takenUp(11, 0)), []);
    });

    it("counts them while two upstreams of their version serve", (t) => {
      const lost = takenUp(12, 0);
      const lacking = [
        { version: "v2" },
        { service: "t" },
        { fromMs: SENT_MS + 10 },
        { toMs: SENT_MS + 10 },
      ];
      t.deepEqual(findRules(lost, [upstream("r1"), upstream("r2")]), ["LOST"]);
      for (const changes of lacking) {
        const upstreams = [upstream("r1"), upstream("r2", changes)];
        t.deepEqual(findRules(lost, upstreams), []);
      }
      const trouble = { who: "r2", fromMs: SENT_MS, toMs: SENT_MS + 10 };
      t.deepEqual(findRules(lost, TWO_UPSTREAMS, [trouble]), []);
    });

    it("counts them at VMs in touch", (t) => {
      const lost = takenUp(12, 0);
      const at = (who: string, toMs: number) => [{ who, fromMs: 0, toMs }];
      const recentMs = SENT_MS - 5_000;
      const findTroubled = (who: string, toMs: number) =>
        findRules(lost, TWO_UPSTREAMS, at(who, toMs));
      t.deepEqual(findTroubled("vm:0", recentMs), []);
      t.deepEqual(findTroubled("store", recentMs), []);
      t.deepEqual(findTroubled("vm:1", recentMs), ["LOST"]);
      t.deepEqual(findTroubled("vm:0", SENT_MS - 7_000), ["LOST"]);
    });

    it("counts no try that its caller left before the first event", (t) => {
      const lost = takenUp(12, 0).map((attempt) =>
        attempt.status === 503
          ? { ...attempt, canceledMs: SENT_MS + 20 }
          : attempt
      );
      t.deepEqual(findRules(lost), []);
    });
  });
});
