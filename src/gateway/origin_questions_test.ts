import { describe, it } from "../base/describe.ts";
import { ManualClock } from "../base/mod.ts";
import type { OriginQuery, OriginReply } from "../region/mod.ts";
import { OriginQuestions } from "./origin_questions.ts";

const OTHER_IP = "10.0.0.2";

/** Opens the questions of one process; each question that it sends is added to `sent`. */
function openQuestions(sent: OriginQuery[]): OriginQuestions {
  const send = (_method: string, params: unknown) =>
    void sent.push(params as OriginQuery);
  return new OriginQuestions({ send } as never, new ManualClock());
}

describe("questions about which version began a stream", () => {
  /** Guards against a stream that goes on at another version, as a late reply is taken for that to another question. */
  it("take no reply to a question of the process before", async (t) => {
    const sent: OriginQuery[] = [];
    const stages = [{ own: [OTHER_IP], elsewhere: [] }];
    const query = { attempt: "a1" } as never;
    void openQuestions(sent).askInTurn(query, stages);
    const after = openQuestions(sent);
    const asked = after.askInTurn(query, stages);
    const [before, own] = sent;
    const replyTo = ({ question }: OriginQuery, version: string) =>
      ({ question, version, seen: [] }) as unknown as OriginReply;
    after.onReply(replyTo(before, "v1"), OTHER_IP);
    after.onReply(replyTo(own, "v2"), OTHER_IP);
    const result = await asked;
    t.is(result.type === "known" && result.version, "v2");
  });
});
