import { describe, it } from "../base/describe.ts";
import { ManualClock } from "../base/mod.ts";
import { Fleet } from "../routing/mod.ts";
import type { Entry } from "../adapters/mod.ts";
import { SILENT_LOG } from "../../test/silent_log.ts";
import { UpstreamView } from "./upstream_view.ts";

const KEY = "servers/i-1";
/** How long what the store has lost, or has again, does not count. */
const KEEP_MS = 5_000;
const COLD_MS = 6_000;

function makeEntry(fields: Record<string, unknown> = {}, rev = 1): Entry {
  const value = JSON.stringify({
    service: "s",
    address: "10.0.0.1:80",
    zone: "north-a",
    slots: 4,
    state: "ready",
    cold_left_ms: 0,
    born: 7,
    ...fields,
  });
  return { key: KEY, value, rev };
}

/** A view that knows one upstream, and a store that comes back when told. */
function openView() {
  const clock = new ManualClock();
  const fleet = new Fleet(() => "north");
  const troubles = { recoveredMonoMs: -Infinity, restoredMonoMs: -Infinity };
  let stored = [makeEntry()];
  const view = new UpstreamView({
    fleet,
    clock,
    log: SILENT_LOG,
    troubles: () => troubles,
    entries: () => stored,
    coldMsOf: () => COLD_MS,
  });
  view.put(makeEntry(), "written");
  return {
    clock,
    view,
    fleet,
    /** The store holds these entries, which the view has applied. */
    apply(entries: Entry[]) {
      stored = entries;
      for (const entry of entries) view.put(entry, "written");
    },
    /** The store comes back and holds this entry, or none. */
    restore(entry: Entry | undefined) {
      troubles.restoredMonoMs = clock.monoMs();
      stored = entry ? [entry] : [];
      if (entry) view.put(entry, "restored");
      else view.delete(KEY, "restored");
    },
    isCold: () => fleet.get("i-1")!.coldUntilMs > clock.monoMs(),
    usableKeys: () => fleet.usableIn("s", "north").map(({ key }) => key),
  };
}

describe("upstream view", () => {
  describe("after the store came back from an older copy", () => {
    it("uses an upstream that it has lost until there was time to write it again", async (t) => {
      const { clock, view, restore, usableKeys } = openView();
      restore(undefined);
      await clock.advance(KEEP_MS - 1);
      view.sweep();
      t.deepEqual(usableKeys(), ["i-1@7"]);
      await clock.advance(1);
      view.sweep();
      t.deepEqual(usableKeys(), []);
    });

    it("uses an upstream on that is written again", async (t) => {
      const { clock, view, restore, usableKeys } = openView();
      restore(undefined);
      view.put(makeEntry(), "written");
      await clock.advance(KEEP_MS);
      view.sweep();
      t.deepEqual(usableKeys(), ["i-1@7"]);
    });

    it("uses no upstream that drains, though the copy says that it is ready", (t) => {
      const { view, restore, usableKeys } = openView();
      view.put(makeEntry({ state: "draining" }), "written");
      restore(makeEntry());
      t.deepEqual(usableKeys(), []);
    });

    it("uses no upstream whose entry was deleted, unless it is still there after a while", async (t) => {
      const { clock, view, restore, usableKeys } = openView();
      view.delete(KEY, "written");
      restore(makeEntry());
      t.deepEqual(usableKeys(), []);
      await clock.advance(KEEP_MS);
      view.sweep();
      t.deepEqual(usableKeys(), ["i-1@7"]);
    });

    it("uses an upstream whose entry was deleted as soon as it is written again", (t) => {
      const { view, restore, usableKeys } = openView();
      view.delete(KEY, "written");
      restore(makeEntry());
      view.put(makeEntry(), "written");
      t.deepEqual(usableKeys(), ["i-1@7"]);
    });

    it("uses the later start of an upstream, though the copy holds the one before", (t) => {
      const { view, restore, usableKeys } = openView();
      view.put(makeEntry({ born: 8 }), "written");
      restore(makeEntry());
      t.deepEqual(usableKeys(), ["i-1@8"]);
    });

    it("keeps an upstream cold, though the copy says that it is warm", async (t) => {
      const { clock, view, restore, fleet } = openView();
      view.put(makeEntry({ cold_left_ms: 8_000 }), "written");
      const coldUntilMs = clock.monoMs() + 8_000;
      await clock.advance(1_000);
      restore(makeEntry());
      t.is(fleet.get("i-1")?.coldUntilMs, coldUntilMs);
      view.put(makeEntry(), "written");
      t.is(fleet.get("i-1")?.coldUntilMs, clock.monoMs());
    });

    it("uses an upstream that it has not seen", (t) => {
      const { restore, usableKeys } = openView();
      restore(makeEntry({ born: 9 }));
      t.deepEqual(usableKeys(), ["i-1@9"]);
    });
  });

  /** Guards against upstreams that became cold in an evacuation and get all their requests until their entries are read. */
  describe("after an evacuation", () => {
    it("keeps an upstream cold whose entry is older, until one comes that was written later", (t) => {
      const { view, isCold } = openView();
      view.noteTakenBack("north-a", 5);
      t.true(isCold());
      view.put(makeEntry({ seq: 2 }, 4), "written");
      t.true(isCold());
      view.put(makeEntry({ seq: 3 }, 6), "written");
      t.false(isCold());
    });

    it("uses an upstream at once whose entry was written later", (t) => {
      const { view, isCold, apply } = openView();
      apply([makeEntry({ seq: 2 }, 6)]);
      view.noteTakenBack("north-a", 5);
      t.false(isCold());
    });

    it("uses upstreams of other failure domains as before", (t) => {
      const { view, isCold } = openView();
      view.noteTakenBack("north-b", 5);
      t.false(isCold());
    });

    it("keeps an upstream cold that appears with an older entry", (t) => {
      const { view, isCold } = openView();
      view.noteTakenBack("north-a", 5);
      view.put(makeEntry({ born: 8 }, 4), "written");
      t.true(isCold());
    });

    it("keeps an upstream cold when all entries are applied again", (t) => {
      const { view, isCold } = openView();
      view.noteTakenBack("north-a", 5);
      view.reapply();
      t.true(isCold());
    });

    it("does not believe a store that came back from an older copy", (t) => {
      const { view, isCold, restore } = openView();
      view.noteTakenBack("north-a", 5);
      restore(makeEntry({}, 9));
      t.true(isCold());
    });

    it("keeps an upstream cold no longer than it can have been, if no entry comes", async (t) => {
      const { clock, view, isCold } = openView();
      view.noteTakenBack("north-a", 5);
      await clock.advance(COLD_MS - 1);
      t.true(isCold());
      await clock.advance(1);
      t.false(isCold());
    });
  });
});
