import { describe, it } from "../base/describe.ts";
import {
  countBytes,
  decodeOriginQuery,
  decodeOriginReply,
  decodeOriginRows,
  ORIGIN_TTL_MS,
  originKey,
  OriginOutbox,
  type OriginPeers,
  Origins,
  splitKeys,
  vmsToAsk,
  vmsToTell,
} from "./mod.ts";

function makeIps(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}.${index}`);
}

function makePeers(vmCount: number): OriginPeers {
  return {
    self: "10.1.0.9",
    vmCount,
    own: { leads: makeIps("10.1.0", 3), others: makeIps("10.1.1", 5) },
    elsewhere: [2, 3].map((region) => ({
      region: `r${region}`,
      leads: makeIps(`10.${region}.0`, 3),
      others: makeIps(`10.${region}.1`, 5),
    })),
  };
}

const KEYS = Array.from(
  { length: 200 },
  (_, index) => originKey(`id-${index}`),
);

describe("the origin of a stream", () => {
  /** Guards against a stream that goes on at another service, and against refusing what a former program told. */
  it("is ambiguous if two services are named, but not if one VM names none", (t) => {
    const origins = new Origins();
    origins.note("k", "v1", "told", 0);
    origins.note("k", "v1", "self", 0, 0, "s");
    origins.note("k", "v1", "told", 0);
    t.like(origins.find("k", 1), { type: "known", service: "s" });
    origins.note("k", "v1", "told", 0, 0, "y");
    t.deepEqual(origins.find("k", 1), { type: "ambiguous" });
  });

  it("is known with its source and age until nobody takes the stream up again", (t) => {
    const origins = new Origins();
    origins.note("k", "v1", "self", 0);
    t.deepEqual(origins.find("k", 100), {
      type: "known",
      version: "v1",
      source: "self",
      ageMs: 100,
    });
    t.truthy(origins.find("k", ORIGIN_TTL_MS - 1));
    t.is(origins.find("k", ORIGIN_TTL_MS), undefined);
  });

  it("counts as seen here when another VM tells the same", (t) => {
    const origins = new Origins();
    origins.note("k", "v1", "self", 0);
    origins.note("k", "v1", "told", 50);
    const found = origins.find("k", 60);
    t.like(found, { type: "known", source: "self", ageMs: 60 });
  });

  it("has the age that the asked VM told", (t) => {
    const origins = new Origins();
    origins.note("k", "v1", "asked", 0, 700);
    t.like(origins.find("k", 10), { source: "asked", ageMs: 710 });
  });

  it("is ambiguous if two versions are said to have begun it, also after a third message", (t) => {
    const origins = new Origins();
    for (const version of ["v1", "v1.2", "v1"]) {
      origins.note("k", version, "told", 0);
    }
    t.deepEqual(origins.find("k", 0), { type: "ambiguous" });
    t.is(origins.find("k", ORIGIN_TTL_MS), undefined);
  });

  it("of no version is an origin", (t) => {
    const origins = new Origins();
    origins.note("k", "", "self", 0);
    t.like(origins.find("k", 0), { type: "known", version: "" });
  });

  it("of a stream that runs for long is kept when it is renewed", (t) => {
    const origins = new Origins();
    origins.note("long", "v1", "self", 0);
    origins.note("short", "v1", "self", 0);
    origins.renew("long", ORIGIN_TTL_MS - 1);
    t.truthy(origins.find("long", ORIGIN_TTL_MS));
    t.is(origins.find("short", ORIGIN_TTL_MS), undefined);
  });

  it("is forgotten in favour of newer ones when there are too many", (t) => {
    const origins = new Origins(2);
    for (const key of ["a", "b", "c"]) origins.note(key, "v1", "told", 0);
    t.is(origins.size, 2);
    t.is(origins.find("a", 0), undefined);
    t.truthy(origins.find("c", 0));
  });
});

describe("the VMs that are told of origins", () => {
  for (const [vmCount, copies] of [[16, 2], [17, 3], [300, 3]]) {
    it(`are ${copies} leads of several regions in a fleet of ${vmCount}, all of them asked`, (t) => {
      const peers = makePeers(vmCount);
      const told = vmsToTell(peers);
      t.is(new Set(told).size, copies);
      t.true(new Set(told.map((ip) => ip.slice(0, 4))).size > 1);
      const asked = vmsToAsk(peers)
        .flatMap(({ own, elsewhere }) => [...own, ...elsewhere]);
      t.true(told.every((ip) => asked.includes(ip)));
    });
  }

  it("are not the same for all VMs", (t) => {
    const told = makeIps("10.1.1", 20)
      .flatMap((self) => vmsToTell({ ...makePeers(300), self }));
    t.is(new Set(told).size, 9);
  });

  it("are asked in the own region first in a large fleet, all at once in a small one", (t) => {
    const countAsked = (vmCount: number) =>
      vmsToAsk(makePeers(vmCount))
        .map(({ own, elsewhere }) => [own.length, elsewhere.length]);
    t.deepEqual(countAsked(16), [[8, 16]]);
    t.deepEqual(countAsked(300), [[3, 0], [0, 6]]);
  });

  it("are as many as there are in a small region without others", (t) => {
    const peers = {
      self: "10.1.0.9",
      vmCount: 2,
      own: { leads: ["10.1.0.1"], others: ["10.1.0.1"] },
      elsewhere: [],
    };
    t.deepEqual(vmsToTell(peers), ["10.1.0.1"]);
    t.deepEqual(vmsToAsk(peers), [{ own: ["10.1.0.1"], elsewhere: [] }]);
  });
});

describe("origins to tell", () => {
  it("of streams that begin together are told together, soon", (t) => {
    const outbox = new OriginOutbox();
    t.is(outbox.dueMs, Infinity);
    for (const [at, key] of KEYS.slice(0, 20).entries()) {
      outbox.add(key, at % 2 === 0 ? "v1" : "v1.2", 0);
    }
    t.true(outbox.dueMs <= 50);
    const rows = outbox.take(3, 20);
    t.is(outbox.size, 0);
    t.deepEqual(rows.map(([version]) => version), ["v1", "v1.2"]);
    const keys = rows.flatMap(([, row]) => splitKeys(row));
    t.deepEqual(keys.sort(), KEYS.slice(0, 20).sort());
  });

  it("of a stream that ended whole are not told", (t) => {
    const outbox = new OriginOutbox();
    outbox.add("k", "v1", 0);
    outbox.drop("k");
    t.is(outbox.dueMs, Infinity);
  });

  // Control messages of a VM stay within 2 KB a second; about half of that is left for these.
  for (const perS of [23, 200]) {
    it(`take about a kilobyte a second at ${perS} streams a second`, (t) => {
      const outbox = new OriginOutbox();
      const forS = 60;
      const vms = 3;
      let bytes = 0;
      let batches = 0;
      let told = 0;
      for (let atMs = 0; atMs < forS * 1_000; atMs++) {
        if (atMs % Math.round(1_000 / perS) === 0) {
          outbox.add(originKey(`s-${atMs}`), "v1.2", atMs);
        }
        if (outbox.dueMs > atMs) continue;
        const rows = outbox.take(vms, atMs);
        batches++;
        bytes += vms * countBytes(rows);
        told += rows.flatMap(([, keys]) => splitKeys(keys)).length;
      }
      t.log(
        `${Math.round(bytes / forS)} bytes a second, a batch each ${
          Math.round(forS * 1_000 / batches)
        } ms, ${(told / batches).toFixed(1)} streams a batch`,
      );
      t.true(bytes / forS < 1_100);
    });
  }
});

describe("messages about origins", () => {
  it("keep only rows that are whole", (t) => {
    const row = ["v1", KEYS[0] + KEYS[1]];
    const malformed = [["v1", "short"], ["v1"], [1, KEYS[0]], null, "x"];
    t.deepEqual(decodeOriginRows([row, ...malformed]), [["v1", row[1]]]);
    t.deepEqual(decodeOriginRows({}), []);
    t.deepEqual(splitKeys(row[1]), [KEYS[0], KEYS[1]]);
  });

  it("that are malformed are no query and no reply", (t) => {
    t.is(decodeOriginQuery({ question: 1, service: "s" }), undefined);
    t.truthy(decodeOriginQuery({ question: 1, service: "s", key: "k" }));
    t.is(decodeOriginReply({ question: 1, version: 2, seen: [] }), undefined);
    t.is(decodeOriginReply({ question: 1, seen: "v1" }), undefined);
    t.truthy(decodeOriginReply({ question: 1, seen: ["v1"] }));
  });
});
