import { readFileSync } from "node:fs";
import { describe, it } from "../base/describe.ts";
import { Random } from "../base/mod.ts";
import {
  checkChanges,
  describeFault,
  diffRows,
  joinPages,
  PUSH_FANOUT,
  pushRoot,
  pushTargets,
  type RowChange,
  rowKey,
  sameRow,
  splitChanges,
  splitImage,
  Table,
  tableFieldsText,
  tableRow,
  tableSchema,
  type VersionedRow,
  WATCHERS_PER_REGION,
  watchersOf,
} from "./mod.ts";

const root = new URL("../../../", import.meta.url);

function tableOf(...rows: unknown[]): Table {
  const parsed = rows.map((row) => ({ row: tableRow.parse(row), version: 1 }));
  return Table.of(1, parsed);
}

const region = (id: string, more = {}) => ({ kind: "region", id, ...more });
const service = (id: string, more = {}) => ({
  kind: "service",
  id,
  type: "model",
  ...more,
});
const digest = "a".repeat(64);

describe("table schema", () => {
  it("is the same as its committed copy", (t) => {
    const committed = readFileSync(new URL("table.schema.json", root), "utf8");
    t.deepEqual(JSON.parse(committed), tableSchema());
  });

  it("has its fields listed in docs/TABLE.md", (t) => {
    const page = readFileSync(new URL("docs/TABLE.md", root), "utf8");
    // The formatter pads the columns of tables.
    const plain = (text: string) =>
      text.replace(/-+/g, "-").replace(/[ \n]+/g, " ").trim();
    const fields = page.split("<!-- fields -->")[1];
    t.is(plain(fields), plain(tableFieldsText()));
  });
});

describe("table checks", () => {
  const table = tableOf(
    region("agadir"),
    region("muscat"),
    service("plan", { models: ["atlas-1"] }),
    { kind: "workspace", id: "clerks", home: "agadir", keyDigests: [digest] },
  );
  const put = (row: unknown): RowChange => ({
    type: "put",
    row: tableRow.parse(row),
  });
  const traffic = (more = {}) =>
    put({ kind: "traffic", service: "plan", region: "agadir", ...more });
  const cases: Record<string, [RowChange, string | undefined]> = {
    "accepts a valid traffic row": [
      traffic({ mayGoTo: ["muscat"] }),
      undefined,
    ],
    "refuses an unknown region to send requests to": [
      traffic({ mayGoTo: ["oz"] }),
      'traffic/plan/agadir: mayGoTo is "oz"; must be the id of a region row',
    ],
    "refuses a row's own region to send requests to": [
      traffic({ mayGoTo: ["agadir"] }),
      'traffic/plan/agadir: mayGoTo is "agadir"; must be a region other than the row\'s own',
    ],
    "refuses a model of two services": [
      put(service("other", { models: ["atlas-1"] })),
      'service/other: models is "atlas-1"; must not be served by service/plan too',
    ],
    "refuses a key of two workspaces": [
      put({
        kind: "workspace",
        id: "drivers",
        home: "agadir",
        keyDigests: [digest],
      }),
      `workspace/drivers: keyDigests is "${digest}"; must not be a key of workspace/clerks too`,
    ],
    "refuses to delete the home region of a workspace": [
      { type: "delete", key: "region/agadir" },
      'region/agadir: workspace.home is "agadir"; delete or change workspace/clerks first',
    ],
    "allows deleting a region that no row refers to": [
      { type: "delete", key: "region/muscat" },
      undefined,
    ],
  };
  for (const [title, [change, wanted]] of Object.entries(cases)) {
    it(title, (t) => {
      const edit = {
        version: 2,
        id: "e",
        author: "a",
        atMs: 0,
        changes: [change],
      };
      const faults = checkChanges(table.apply(edit), [change]);
      t.deepEqual(faults.map(describeFault), wanted ? [wanted] : []);
    });
  }
});

describe("table diff", () => {
  it("puts references first, deletes them last, and skips unchanged rows", (t) => {
    const table = tableOf(region("agadir"), region("oz"), service("old"));
    const rows = [
      { kind: "traffic", service: "plan", region: "agadir" },
      region("agadir", { linkMs: {}, weight: 1 }),
      service("plan"),
    ].map((row) => tableRow.parse(row));
    const changes = diffRows(table, rows).map((change) =>
      change.type === "put"
        ? `+${rowKey(change.row)}@${change.ifVersion}`
        : `-${change.key}@${change.ifVersion}`
    );
    t.deepEqual(changes, [
      "+service/plan@0",
      "+traffic/plan/agadir@0",
      "-region/oz@1",
      "-service/old@1",
    ]);
  });

  it("ignores the order of fields", (t) => {
    const a = tableRow.parse(region("agadir", { linkMs: { x: 1, y: 2 } }));
    const b = tableRow.parse({
      linkMs: { y: 2, x: 1 },
      id: "agadir",
      kind: "region",
    });
    t.true(sameRow(a, b));
  });

  it("splits changes into parts, in order and within the maximum size", (t) => {
    const changes = Array.from({ length: 50 }, (_, i): RowChange => ({
      type: "delete",
      key: `region/r${i}`,
    }));
    const parts = splitChanges(changes, 300);
    t.deepEqual(parts.flat(), changes);
    t.true(parts.every((part) => JSON.stringify(part).length <= 302));
  });
});

describe("table images", () => {
  const rows = Array.from({ length: 200 }, (_, i) => region(`r${i}`));
  const recent = [{ id: "e1", version: 1 }];
  const image = { table: tableOf(...rows), lastId: "e1", recent };

  it("are the same after being split into pages and joined", (t) => {
    const pages = splitImage(image, 2000);
    t.true(pages.length > 5);
    const again = joinPages(JSON.parse(JSON.stringify(pages)))!;
    t.is(again.lastId, "e1");
    t.deepEqual(again.recent, recent);
    t.deepEqual([...again.table.rows()], [...image.table.rows()]);
  });

  it("are refused if a page is missing or of another version", (t) => {
    const pages = splitImage(image, 2000);
    t.is(joinPages(pages.slice(0, -1)), undefined);
    t.is(joinPages([]), undefined);
    const mixed = pages.map((page, i) =>
      i === 2 ? { ...page, version: 9 } : page
    );
    t.is(joinPages(mixed), undefined);
  });
});

describe("table pushes", () => {
  const ids = Array.from({ length: 67 }, (_, i) => `agadir-${i}`);

  it("reach every VM of the region once, with bounded work for each", (t) => {
    const watchers = watchersOf("agadir", ids);
    t.is(watchers.length, WATCHERS_PER_REGION);
    for (let version = 1; version <= 50; version++) {
      const first = pushRoot(version, watchers)!;
      const reached = [first];
      for (const id of reached) {
        const targets = pushTargets(version, first, id, ids);
        t.true(targets.length <= PUSH_FANOUT);
        reached.push(...targets);
      }
      t.deepEqual([...reached].sort(), [...ids].sort());
    }
  });

  it("spread the inner nodes of the tree over the region", (t) => {
    const sent = new Map<string, number>();
    for (let version = 1; version <= 400; version++) {
      const first = pushRoot(version, watchersOf("agadir", ids))!;
      for (const id of ids) {
        const { length } = pushTargets(version, first, id, ids);
        sent.set(id, (sent.get(id) ?? 0) + length);
      }
    }
    // A watcher is the root of every second tree; all other VMs send about one message per edit.
    const loads = [...sent.values()].sort((a, b) => b - a);
    t.true(loads[0] <= 400 * PUSH_FANOUT * 0.7, String(loads[0]));
    t.true(loads[2] <= 400 * 1.7, String(loads[2]));
  });
});

describe("table versions", () => {
  it("have the same rows in layers as in one map", (t) => {
    const random = new Random(5);
    let table = Table.empty;
    const plain = new Map<string, VersionedRow>();
    for (let version = 1; version <= 1500; version++) {
      const key = `region/r${random.int(400)}`;
      const row = tableRow.parse(region(key.slice(7), { weight: version }));
      const change: RowChange = random.int(4) === 0
        ? { type: "delete", key }
        : { type: "put", row };
      if (change.type === "put") plain.set(key, { row, version });
      else plain.delete(key);
      const changes = [change];
      table = table.apply({ version, id: "", author: "", atMs: 0, changes });
      t.is(table.get(key)?.version, plain.get(key)?.version);
      t.is(table.size, plain.size);
    }
    const sorted = (rows: Iterable<VersionedRow>) =>
      Array.from(rows, (it) => JSON.stringify(it)).sort();
    t.deepEqual(sorted(table.rows()), sorted(plain.values()));
    for (const [key, row] of plain) t.deepEqual(table.get(key), row);
  });

  it("stay unchanged when a later one is made", (t) => {
    const first = tableOf(region("agadir"));
    const row = tableRow.parse(region("agadir", { weight: 9 }));
    const changes: RowChange[] = [{ type: "put", row }];
    const edit = { version: 2, id: "", author: "", atMs: 0, changes };
    const second = first.apply(edit);
    t.is(first.region("agadir")?.weight, 1);
    t.is(second.region("agadir")?.weight, 9);
    t.throws(() => first.apply({ ...edit, version: 3 }));
  });
});
