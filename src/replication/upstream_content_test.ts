import { describe, it } from "../base/describe.ts";
import { makeUpstreamEntry } from "../standins/mod.ts";
import { upstreamContentOf } from "./upstream_content.ts";

describe("the entry of an upstream", () => {
  // The other VMs would go on to place by the version that they have heard of first.
  it("with another version is news", (t) => {
    const contents = ["v1", "v1.2", undefined].map((version) => {
      const record = makeUpstreamEntry("10.1.0.9:80", "north", { version });
      const value = JSON.stringify(record);
      return upstreamContentOf({ key: "servers/i-1", rev: 1, value });
    });
    t.is(new Set(contents).size, 3);
  });
});
