import fc from "fast-check";
import { describe, it } from "../base/describe.ts";
import {
  type CalledRoute,
  countQuotaUnits,
  identifyCaller,
  type WorkspaceRow,
  Workspaces,
} from "./mod.ts";

const ROUTE: CalledRoute = { anonymous: false, priority: 3, homeRegions: [] };

function row(more: Partial<WorkspaceRow> = {}): WorkspaceRow {
  return {
    name: "clinic",
    keyDigests: ["digest-1", "digest-2"],
    priority: undefined,
    homeRegions: [],
    quota: undefined,
    ...more,
  };
}

describe("a caller", () => {
  it("is known by any key of its workspace", (t) => {
    const workspaces = new Workspaces([row()]);
    for (const digest of ["digest-1", "digest-2"]) {
      const caller = identifyCaller(workspaces, ROUTE, digest);
      t.is(caller.type === "known" && caller.workspace?.name, "clinic");
    }
  });

  it("is unknown without a key, and with a key of no workspace", (t) => {
    const workspaces = new Workspaces([row()]);
    t.is(identifyCaller(workspaces, ROUTE, undefined).type, "unknown");
    t.is(identifyCaller(workspaces, ROUTE, "digest-3").type, "unknown");
    t.is(identifyCaller(new Workspaces([]), ROUTE, "digest-1").type, "unknown");
  });

  it("needs no key on an anonymous route, and if no workspaces are configured", (t) => {
    const open = { ...ROUTE, anonymous: true };
    t.is(
      identifyCaller(new Workspaces([row()]), open, undefined).type,
      "known",
    );
    const none = new Workspaces(undefined);
    t.is(identifyCaller(none, ROUTE, undefined).type, "known");
  });

  it("has its workspace's priority if set, else the route's", (t) => {
    const priorityOf = (priority: number | undefined) => {
      const caller = identifyCaller(
        new Workspaces([row({ priority })]),
        ROUTE,
        "digest-1",
      );
      return caller.type === "known" ? caller.priority : undefined;
    };
    t.is(priorityOf(undefined), 3);
    t.is(priorityOf(0), 0);
  });

  it("is bound to the regions that route and workspace have in common", (t) => {
    const homes = (ofRoute: string[], ofWorkspace: string[]) => {
      const caller = identifyCaller(
        new Workspaces([row({ homeRegions: ofWorkspace })]),
        { ...ROUTE, homeRegions: ofRoute },
        "digest-1",
      );
      return caller.type === "known" ? caller.homeRegions : caller.type;
    };
    t.deepEqual(homes([], []), []);
    t.deepEqual(homes(["a", "b"], []), ["a", "b"]);
    t.deepEqual(homes([], ["b"]), ["b"]);
    t.deepEqual(homes(["a", "b"], ["b", "c"]), ["b"]);
    // An empty list would allow all regions.
    t.is(homes(["a"], ["c"]), "homeless");
  });

  it("is found among any number of workspaces", (t) => {
    fc.assert(
      fc.property(fc.uniqueArray(fc.string(), { minLength: 1 }), (digests) => {
        const workspaces = new Workspaces(
          digests.map((digest, index) =>
            row({ name: `w${index}`, keyDigests: [digest] })
          ),
        );
        digests.forEach((digest, index) =>
          t.is(workspaces.findByKeyDigest(digest)?.name, `w${index}`)
        );
      }),
    );
  });
});

describe("a request's use of a limit", () => {
  const TOKENS = {
    unit: "tokens",
    unitsPerS: 10,
    burstUnits: 10,
    plainTokens: 200,
  } as const;

  it("is its tokens, or the default if it states none", (t) => {
    t.is(countQuotaUnits(TOKENS, 9_240), 9_240);
    t.is(countQuotaUnits(TOKENS, 0), 200);
  });

  it("is one if the limit counts requests", (t) => {
    t.is(countQuotaUnits({ ...TOKENS, unit: "requests" }, 9_240), 1);
  });
});
