import { readFileSync } from "node:fs";
import { describe, it } from "../base/describe.ts";
import { checkSettings } from "./settings.ts";
import { settingsLines, settingsSchemaText } from "./settings_schema.ts";

const ROOT = new URL("../../../", import.meta.url);

function validSettings(): Record<string, Record<string, unknown>> {
  return {
    vm: { id: "agadir-1", region: "agadir", failureDomain: "agadir-a" },
    listen: { callers: { port: 7070 }, peers: { port: 7071 } },
    platform: { storeUrls: ["http://10.0.0.9:2379"] },
    peers: { credential: "env:IBISGAP_CREDENTIAL" },
  };
}

describe("settings", () => {
  it("get defaults for missing fields", (t) => {
    const settings = checkSettings(validSettings())._unsafeUnwrap();
    t.is(settings.listen.callers.host, "127.0.0.1");
    t.is(settings.limits.attempts, 3);
  });

  const cases: [string, string, string, unknown, string, RegExp][] = [
    [
      "a port out of range",
      "listen",
      "callers",
      { port: 70_000 },
      "listen.callers.port",
      /65535.*found 70000/,
    ],
    [
      "an id with capitals",
      "vm",
      "id",
      "Agadir 1",
      "vm.id",
      /lower-case.*found "Agadir 1"/,
    ],
    ["no store", "platform", "storeUrls", [], "platform.storeUrls", /1/],
    ["a field that does not exist", "vm", "zone", "a", "vm", /zone/],
    [
      "a level that does not exist",
      "log",
      "level",
      "loud",
      "log.level",
      /"error"/,
    ],
    [
      "a limit below its minimum",
      "limits",
      "attempts",
      0,
      "limits.attempts",
      />=1.*found 0/,
    ],
  ];
  for (const [name, group, field, value, at, message] of cases) {
    it(`refuse ${name} and name the field, the value and what is allowed`, (t) => {
      const settings = validSettings();
      settings[group] = { ...settings[group], [field]: value };
      const problems = checkSettings(settings)._unsafeUnwrapErr();
      t.is(problems.length, 1, JSON.stringify(problems));
      t.is(problems[0].field, at);
      t.regex(problems[0].message, message);
    });
  }

  it("never print a credential", (t) => {
    const settings = { ...validSettings(), peers: { credential: "short" } };
    const problems = checkSettings(settings)._unsafeUnwrapErr();
    t.false(JSON.stringify(problems).includes("short"));
  });

  it("match the published schema and page", (t) => {
    t.is(
      readFileSync(new URL("settings.schema.json", ROOT), "utf8"),
      settingsSchemaText(),
    );
    const page = readFileSync(new URL("docs/SETTINGS.md", ROOT), "utf8")
      .replace(/\s+/g, " ");
    for (const line of settingsLines()) {
      t.true(page.includes(line), `docs/SETTINGS.md lacks: ${line}`);
    }
  });
});
