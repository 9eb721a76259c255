import { describe, it } from "../base/describe.ts";
import { ManualClock } from "../base/mod.ts";
import type { Log } from "../kernel/mod.ts";
import { CONFIG_KEY } from "../platform/mod.ts";
import { makeConfig, makeRoute } from "../standins/mod.ts";
import { SILENT_LOG } from "../../test/silent_log.ts";
import { ConfigInForce, FROM_STORE } from "./config_in_force.ts";

function open() {
  const clock = new ManualClock();
  const lines: { event: string; fields?: Record<string, unknown> }[] = [];
  const note = (event: string, fields?: Record<string, unknown>) =>
    void lines.push({ event, fields });
  const log: Log = { ...SILENT_LOG, info: note, warn: note, error: note };
  const held = new ConfigInForce({
    vmId: "vm-1",
    clock,
    log,
    describeStore: () => ({ isReader: true }),
  });
  return { clock, lines, held };
}

const entryOf = (version: number, routes = [makeRoute()]) => ({
  key: CONFIG_KEY,
  rev: version * 10,
  value: JSON.stringify(makeConfig(version, routes)),
});

describe("the configuration in force", () => {
  it("is logged with the VM that sent it, the one that read it, and when", (t) => {
    const { lines, held } = open();
    const origin = { readBy: "vm-9", readAgoMs: 120 };
    held.applyStored(entryOf(3), { from: "vm-2", origin });
    t.is(lines[0].event, "config in force");
    t.like(lines[0].fields, {
      configVersion: 3,
      from: "vm-2",
      ...origin,
      rev: 30,
      isReader: true,
    });
  });

  it("names its reader to other VMs, and how long ago that was", async (t) => {
    const { clock, held } = open();
    held.applyStored(entryOf(3), FROM_STORE);
    await clock.advance(250);
    t.deepEqual(held.origin, { readBy: "vm-1", readAgoMs: 250 });
  });

  it("stays, and says so, if the store holds an older one, another one of its version, none or an unreadable one", (t) => {
    const { lines, held } = open();
    held.applyStored(entryOf(6), FROM_STORE);
    held.applyStored(entryOf(3), FROM_STORE);
    t.is(held.storedVersion, 3);
    t.is(held.origin, undefined);
    held.applyStored(
      entryOf(6, [makeRoute({ path_prefix: "/other/" })]),
      FROM_STORE,
    );
    held.applyStored({ ...entryOf(9), value: "{" }, FROM_STORE);
    t.is(held.storedVersion, undefined);
    held.noteDeleted();
    t.is(held.config?.version, 6);
    t.deepEqual(lines.map(({ event }) => event), [
      "config in force",
      "older config left out",
      "other config of one version left out",
      "config unreadable",
    ]);
  });

  describe("on one VM and newer than the store's", () => {
    it("is announced until the store holds it", (t) => {
      const { held } = open();
      t.deepEqual(held.announced, {});
      held.applyStored(entryOf(6), FROM_STORE);
      t.deepEqual(held.announced, {});
      held.applyStored(entryOf(3), FROM_STORE);
      t.deepEqual(held.announced, { configVersion: 6 });
      held.applyStored({ ...entryOf(9), value: "{" }, FROM_STORE);
      t.deepEqual(held.announced, { configVersion: 6 });
      held.applyStored(entryOf(6), FROM_STORE);
      t.deepEqual(held.announced, {});
    });

    it("is in force on another one too, which tells it on", (t) => {
      const [a, b] = [open().held, open().held];
      a.applyStored(entryOf(6), FROM_STORE);
      b.applyStored(entryOf(3), FROM_STORE);
      t.true(b.isNewer(6));
      b.adopt(a.news!, 6, "a");
      t.is(b.config?.version, 6);
      t.deepEqual(b.announced, { configVersion: 6 });
      t.false(b.isNewer(6));
    });

    it("is not asked for again by a VM that can't read it", (t) => {
      const { held } = open();
      held.applyStored(entryOf(3), FROM_STORE);
      const origin = { readBy: "a", readAgoMs: 0 };
      held.adopt({ value: "{", origin }, 6, "a");
      t.is(held.config?.version, 3);
      t.false(held.isNewer(6));
      t.true(held.isNewer(9));
      t.false(held.isNewer("12"));
    });
  });
});
