import { describe, it } from "../base/describe.ts";
import { ManualClock } from "../base/mod.ts";
import { Fleet } from "../routing/mod.ts";
import type { Entry } from "../adapters/mod.ts";
import { SILENT_LOG } from "../../test/silent_log.ts";
import { UpstreamView } from "./upstream_view.ts";

const KEY = "servers/i-1";
/** How long what the store has lost, or has again, does not count. */
const KEEP_MS = 5_000;

function makeEntry(fields: Record<string, unknown> = {}): Entry {
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
  return { key: KEY, value, rev: 1 };
}

/** A view that knows one upstream, and a store that comes back when told. */
function openView() {
  const clock = new ManualClock();
  const fleet = new Fleet(() => "north");
  const troubles = { recoveredMonoMs: -Infinity, restoredMonoMs: -Infinity };
  let stored: Entry[] = [];
  const view = new UpstreamView({
    fleet,
    clock,
    log: SILENT_LOG,
    troubles: () => troubles,
    entries: () => stored,
  });
  view.put(makeEntry(), "written");
  return {
    clock,
    view,
    fleet,
    /** The store comes back and holds this entry, or none. */
    restore(entry: Entry | undefined) {
      troubles.restoredMonoMs = clock.monoMs();
      stored = entry ? [entry] : [];
      if (entry) view.put(entry, "restored");
      else view.delete(KEY, "restored");
    },
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
});
