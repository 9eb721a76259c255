import test from "ava";
import fc from "fast-check";
import { describe, it } from "../base/describe.ts";
import { EndBook, type EndNews } from "./mod.ts";

const HOUR_MS = 3_600_000;
/** What fits into a datagram that is not parted on its way, beside its frame. */
const MOST_BYTES = 1_300;

/** A book in which a request has ended some upstreams. */
function bookOf(ends: number, nowMs = 1_000): EndBook {
  const book = new EndBook();
  for (let at = 0; at < ends; at++) book.noteEnd("r", `u${at}`, nowMs, nowMs);
  return book;
}

describe("suspects", () => {
  describe("the book of ends", () => {
    it("puts a request on trial at the third end and rejects it at the fourth", (t) => {
      const standings = [0, 1, 2, 3, 4].map((ends) =>
        bookOf(ends).standing("r", 1_000)
      );
      t.deepEqual(standings, [
        "clear",
        "suspected",
        "suspected",
        "onTrial",
        "rejected",
      ]);
    });

    it("counts an end once that two VMs saw", (t) => {
      const book = bookOf(1);
      t.deepEqual(book.adopt([["r", "u0", 90, false]], 1_050), []);
      t.is(book.ends("r", 1_050), 1);
    });

    it("counts an upstream twice that ended, came back and ended again", (t) => {
      const book = bookOf(1, 1_000);
      book.noteEnd("r", "u0", 1_200, 1_300);
      book.noteEnd("r", "u0", 1_500, 1_600);
      t.is(book.ends("r", 1_600), 3);
    });

    it("counts it once if the request was sent there before the first end was known", (t) => {
      const book = bookOf(1, 1_000);
      book.noteEnd("r", "u0", 950, 1_010);
      t.is(book.ends("r", 1_010), 1);
    });

    it("clears a request that ran, whatever is told of those ends later", (t) => {
      const book = bookOf(3);
      book.clear("r", 1_100);
      book.adopt([["r", "u1", 100, false]], 1_200);
      t.is(book.standing("r", 1_200), "clear");
    });

    it("has requests hashed only while one is suspected", (t) => {
      const book = bookOf(0);
      t.false(book.hasSuspects);
      book.noteEnd("r", "u", 1_000, 1_000);
      t.true(book.hasSuspects);
      book.clear("r", 1_100);
      t.false(book.hasSuspects);
      book.noteEnd("r", "v", 1_200, 1_200);
      book.sweep(1_200 + HOUR_MS);
      t.false(book.hasSuspects);
    });

    it("counts ends anew after it was cleared", (t) => {
      const book = bookOf(3);
      book.clear("r", 1_100);
      book.noteEnd("r", "u9", 1_200, 1_300);
      t.is(book.ends("r", 1_300), 1);
    });

    it("lets a rejected request run again when it says so", (t) => {
      const book = bookOf(4);
      const againMs = 1_000 + book.rejectedForMs("r", 1_000);
      t.is(book.standing("r", againMs - 1), "rejected");
      t.not(book.standing("r", againMs), "rejected");
    });

    it("forgets, and takes no end that others forgot", (t) => {
      const book = bookOf(4);
      book.sweep(1_000 + HOUR_MS);
      t.is(book.size, 0);
      t.deepEqual(book.adopt([["r", "u0", HOUR_MS, false]], 5_000), []);
      t.is(book.size, 0);
    });

    it("keeps a request with several ends through a flood of others", (t) => {
      const book = bookOf(4);
      for (let at = 0; at < 50_000; at++) {
        book.noteEnd(`flood${at}`, "u", 2_000, 2_000);
      }
      t.is(book.standing("r", 2_000), "rejected");
      t.true(book.size <= 4_096, `${book.size} entries`);
    });

    it("tells a bounded message, those with most ends first", (t) => {
      const book = new EndBook();
      const digest = (at: number) => at.toString(16).padStart(16, "0");
      for (let at = 0; at < 100; at++) {
        for (let end = 0; end < (at === 50 ? 4 : 2); end++) {
          const upstream = `i-${digest(end).slice(6)}@1769340000000`;
          book.noteEnd(digest(at), upstream, 1_000, 1_000);
        }
      }
      const rows = book.worst(61_000);
      t.is(rows.length, 20);
      t.true(rows.slice(0, 4).every(([name]) => name === digest(50)));
      const bytes = JSON.stringify(rows).length;
      t.true(bytes < MOST_BYTES, `${bytes} bytes`);
    });
  });
});

const row: fc.Arbitrary<EndNews> = fc.tuple(
  fc.constantFrom("a", "b"),
  fc.constantFrom("u1", "u2", "u3", "u4", "u5"),
  fc.constant(0),
  fc.boolean(),
);

test("suspects > the book of ends > agrees on every VM, in whatever order and however often rows come", (t) => {
  fc.assert(
    fc.property(
      fc.array(row, { maxLength: 30 }),
      fc.infiniteStream(fc.nat()),
      (rows, draws) => {
        const shuffled = [...rows, ...rows]
          .map((one) => ({ one, at: draws.next().value }))
          .sort((a, b) => a.at - b.at).map(({ one }) => one);
        const [book, other] = [new EndBook(), new EndBook()];
        book.adopt(rows, 0);
        other.adopt(shuffled, 0);
        for (const digest of ["a", "b"]) {
          t.is(book.standing(digest, 0), other.standing(digest, 0));
        }
      },
    ),
    { seed: 31, numRuns: 500 },
  );
  t.pass();
});
