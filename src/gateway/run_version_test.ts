import { describe, it } from "../base/describe.ts";
import { Fleet, type UpstreamRecord } from "../routing/mod.ts";
import { RunVersion } from "./run_version.ts";

const SERVICE = "s";
/** The only version that served lately, as far as the VM knows. */
const ONLY_VERSION = "v1";

function record(id: string, version: string, bornMs = 0): UpstreamRecord {
  return {
    id,
    key: `${id}@${bornMs}`,
    service: SERVICE,
    host: "10.0.0.1",
    port: 80,
    failureDomain: "a",
    slots: 8,
    state: "ready",
    version,
    coldLeftMs: 0,
  };
}

function makeFleet(...records: readonly UpstreamRecord[]): Fleet {
  const fleet = new Fleet(() => "north");
  for (const upstream of records) fleet.put(upstream, 0);
  return fleet;
}

describe("the version of a run", () => {
  const RELAYED = { version: undefined, upstream: undefined };

  it("is that of the upstream whose answer brought the first event", (t) => {
    const fleet = makeFleet(record("u1", "v1"), record("u2", "v1.2"));
    const run = new RunVersion();
    run.noteAnswer({ version: "v1.2", upstream: fleet.get("u2") }, "u2", false);
    run.noteBreak(fleet);
    run.noteAnswer({ version: "v1", upstream: fleet.get("u1") }, "u1", false);
    run.noteBreak(fleet);
    t.is(run.versionToGoOn(ONLY_VERSION), "v1");
  });

  it("stays the same when that upstream has another one later", (t) => {
    const fleet = makeFleet(record("u1", "v1"), record("u2", "v1"));
    const run = new RunVersion();
    run.noteAnswer({ version: "v1", upstream: fleet.get("u1") }, "u1", false);
    run.noteBreak(fleet);
    fleet.put(record("u1", "v1.2", 9), 1);
    run.noteAnswer({ version: "v1", upstream: fleet.get("u2") }, "u2", true);
    run.noteBreak(fleet);
    t.is(run.versionToGoOn(ONLY_VERSION), "v1");
  });

  // A VM that guesses one of the two would mix versions in half of the cases.
  it("is unknown if the upstream has another one at the break", (t) => {
    const fleet = makeFleet(record("u1", "v1"), record("u2", "v1"));
    const run = new RunVersion();
    run.noteAnswer({ version: "v1", upstream: fleet.get("u1") }, "u1", false);
    fleet.put(record("u1", "v1.2", 9), 1);
    run.noteBreak(fleet);
    t.is(run.versionToGoOn(ONLY_VERSION), undefined);
  });

  // VMs of the program before this one relay requests too, and tell no version.
  it("that another VM did not tell is known only while there is one", (t) => {
    const fleet = makeFleet(record("u1", "v1"));
    const run = new RunVersion();
    run.noteAnswer(RELAYED, "10.0.0.9", false);
    run.noteBreak(fleet);
    t.is(run.versionToGoOn("v1"), "v1");
    t.is(run.versionToGoOn(undefined), undefined);
  });

  /** Guards against a version that is taken from the entry of the process before. */
  for (const process of ["replaced", "unproven"] as const) {
    it(`is unknown if the process that began it is ${process}`, async (t) => {
      const fleet = makeFleet(record("u1", "v1"), record("u2", "v1"));
      const run = new RunVersion();
      run.noteAnswer(
        { version: "v1", upstream: fleet.get("u1") },
        "u1",
        false,
      );
      run.noteProcess(Promise.resolve(process));
      await run.processKnown;
      run.noteBreak(fleet);
      t.is(run.versionToGoOn(ONLY_VERSION), undefined);
      t.true(run.isDoubtful);
    });
  }

  it("is unknown while the process that began it is asked", async (t) => {
    const fleet = makeFleet(record("u1", "v1"));
    const run = new RunVersion();
    run.noteAnswer({ version: "v1", upstream: fleet.get("u1") }, "u1", false);
    run.noteProcess(Promise.resolve("confirmed" as const));
    t.is(run.versionToGoOn(ONLY_VERSION), undefined);
    await run.processKnown;
    t.is(run.versionToGoOn(ONLY_VERSION), "v1");
  });
});
