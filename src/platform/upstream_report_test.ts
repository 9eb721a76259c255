import { describe, it } from "../base/describe.ts";
import { decodeReportedBorn } from "./upstream_report.ts";

describe("an upstream's report", () => {
  const cases: readonly (readonly [
    what: string,
    status: number,
    text: string,
    born: ReturnType<typeof decodeReportedBorn>,
  ])[] = [
    ["with the start of its process", 200, '{"seq":1,"born":17}', 17],
    ["without it", 200, '{"seq":1}', "untold"],
    ["with a start that is no number", 200, '{"born":"17"}', "untold"],
    ["that doesn't exist", 404, "", "untold"],
    ["in the place of which a plain answer comes", 200, "served", "untold"],
    ["that was cut", 200, '{"seq":1,"bor', undefined],
    ["that is refused", 503, "", undefined],
    ["that fails", 500, '{"born":17}', undefined],
  ];
  for (const [what, status, text, born] of cases) {
    it(`${what} tells ${born}`, (t) => {
      t.is(decodeReportedBorn(status, text), born);
    });
  }
});
