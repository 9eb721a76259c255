import { describe, it } from "../base/describe.ts";
import { failure } from "../base/mod.ts";
import { RunEvidence } from "./run_evidence.ts";

/** Guards against requests that run twice as a failure in the middle of a send is told as "not run". */
describe("run evidence", () => {
  it("says not run of a request that was never sent", (t) => {
    const evidence = new RunEvidence();
    t.false(evidence.mayHaveRun);
    t.is(evidence.checkFailure(failure("queueFull")).ran, "no");
  });

  it("takes a send that is open for one that may have run", (t) => {
    const evidence = new RunEvidence();
    evidence.noteSend();
    t.true(evidence.mayHaveRun);
    t.is(evidence.checkFailure(failure("queueFull")).ran, "unknown");
  });

  it("takes a proof for the last send alone", (t) => {
    const evidence = new RunEvidence();
    evidence.noteSend();
    evidence.noteSend();
    evidence.noteNotRun();
    t.true(evidence.mayHaveRun);
  });

  it("says not run once each send was proved not to have run", (t) => {
    const evidence = new RunEvidence();
    evidence.noteSend();
    evidence.noteNotRun();
    evidence.noteSend();
    evidence.noteNotRun();
    t.false(evidence.mayHaveRun);
    t.is(evidence.checkFailure(failure("noUpstream")).ran, "no");
  });

  it("takes no proof back after a send that may have run", (t) => {
    const evidence = new RunEvidence();
    evidence.noteSend();
    evidence.noteMayHaveRun();
    evidence.noteNotRun();
    t.true(evidence.mayHaveRun);
  });
});
