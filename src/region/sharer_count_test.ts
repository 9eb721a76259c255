import { describe, it } from "../base/describe.ts";
import { SharerCount } from "./mod.ts";

const MINUTE_MS = 60_000;

describe("the number of VMs that share a limit", () => {
  it("is large while a VM has heard none of the others that there are", (t) => {
    const sharers = new SharerCount(true, 0);
    sharers.note(1, 10 * MINUTE_MS);
    t.is(sharers.count, 128);
  });

  it("is one where there are no others", (t) => {
    t.is(new SharerCount(false, 0).count, 1);
  });

  it("does not fall while a VM is cut off", (t) => {
    const sharers = new SharerCount(true, 0);
    sharers.note(7, 0);
    for (let ms = 0; ms < 10 * MINUTE_MS; ms += MINUTE_MS) {
      sharers.note(1, ms);
      t.is(sharers.count, 7);
    }
  });

  it("falls once a fleet has been smaller for long", (t) => {
    const sharers = new SharerCount(true, 0);
    sharers.note(60, 0);
    for (let ms = 0; ms <= 21 * MINUTE_MS; ms += MINUTE_MS) {
      sharers.note(7, ms);
    }
    t.is(sharers.count, 7);
  });
});
