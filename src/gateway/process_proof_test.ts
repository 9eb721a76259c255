import { describe, it } from "../base/describe.ts";
import { type ProcessAnswer, ProcessProof } from "./process_proof.ts";

/** A proof whose questions get answers in turn. */
function makeProof(...answers: readonly ProcessAnswer[]) {
  const proof = new ProcessProof();
  const left = [...answers];
  let asked = 0;
  const prove = (connection: number) =>
    proof.prove(connection, async () => {
      asked++;
      await Promise.resolve();
      return left.shift() ?? { verdict: "unproven", lastBefore: 0 };
    });
  return { proof, prove, countAsked: () => asked };
}

describe("connections to an upstream", () => {
  it("that were opened before one of its process are its own", async (t) => {
    const { proof, prove, countAsked } = makeProof({
      verdict: "confirmed",
      lastBefore: 5,
    });
    t.is(await prove(4), "confirmed");
    t.is(await prove(3), "confirmed");
    t.is(countAsked(), 1);
    t.is(proof.verdictOn(6), undefined);
  });

  it("that are opened later are asked about again", async (t) => {
    const { prove, countAsked } = makeProof(
      { verdict: "confirmed", lastBefore: 5 },
      { verdict: "replaced", lastBefore: 7 },
    );
    await prove(4);
    t.is(await prove(6), "replaced");
    t.is(await prove(4), "confirmed");
    t.is(countAsked(), 2);
  });

  it("share one question", async (t) => {
    const { prove, countAsked } = makeProof({
      verdict: "confirmed",
      lastBefore: 9,
    });
    const verdicts = await Promise.all([1, 2, 8].map(prove));
    t.deepEqual(verdicts, ["confirmed", "confirmed", "confirmed"]);
    t.is(countAsked(), 1);
  });

  it("are asked about anew if the question under way is older", async (t) => {
    const { prove, countAsked } = makeProof(
      { verdict: "confirmed", lastBefore: 5 },
      { verdict: "confirmed", lastBefore: 8 },
    );
    const verdicts = await Promise.all([4, 7].map(prove));
    t.deepEqual(verdicts, ["confirmed", "confirmed"]);
    t.is(countAsked(), 2);
  });

  it("of an upstream that does not tell are asked about once", async (t) => {
    const { prove, countAsked } = makeProof({
      verdict: "unknown",
      lastBefore: 5,
    });
    t.is(await prove(4), "unknown");
    t.is(await prove(9), "unknown");
    t.is(countAsked(), 1);
  });

  it("are unproven while there is no answer", async (t) => {
    const { prove, countAsked } = makeProof();
    t.is(await prove(4), "unproven");
    t.is(countAsked(), 1);
  });
});
