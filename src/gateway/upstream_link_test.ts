import { describe, it } from "../base/describe.ts";
import { UpstreamLink } from "./upstream_link.ts";

/** Guards against an upstream that is back, cold, and gets all its requests, or one that stays at the cold rate. */
describe("an upstream whose program has ended", () => {
  it("may be a new start until it is gone for good", (t) => {
    const link = new UpstreamLink(0);
    t.false(link.mayBeRestarted(1_000));
    link.noteGone(1_000);
    t.true(link.mayBeRestarted(5_900));
    t.false(link.mayBeRestarted(6_000));
  });

  it("may be a new start for the time that its entry takes once it answers again", (t) => {
    const link = new UpstreamLink(0);
    link.noteGone(1_000);
    link.noteReceived(2_000);
    t.true(link.mayBeRestarted(3_900));
    link.noteReceived(3_900);
    t.false(link.mayBeRestarted(4_000));
  });

  it("may be a new start again after it has ended again", (t) => {
    const link = new UpstreamLink(0);
    link.noteGone(1_000);
    link.noteReceived(2_000);
    link.noteGone(10_000);
    t.true(link.mayBeRestarted(10_100));
  });

  it("is known by the word of another VM", (t) => {
    const link = new UpstreamLink(0);
    link.noteOutcomeElsewhere("vm-2", "gone", 1_000);
    t.true(link.mayBeRestarted(1_100));
  });
});
