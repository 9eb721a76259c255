import { type IncomingMessage, validateHeaderValue } from "node:http";
import { describe, it } from "../base/describe.ts";
import {
  addResumeHeader,
  addSendHeaders,
  decodeAnswer,
  decodeMove,
  forwardedHeaders,
} from "./mod.ts";

describe("platform", () => {
  describe("headers to an upstream", () => {
    // A caller that could set the gateway's own headers could reserve, pin or copy an engine's memory on the gateway's
    // account, or name the upstream that may run the request.
    /** Guards against a workspace whose name can't be written into a header, so that each of its requests fails. */
    it("name the workspace in UTF-8", (t) => {
      const kept = forwardedHeaders([], { workspace: "Қала 図" });
      t.is(kept[0], "Tenant");
      t.notThrows(() => validateHeaderValue(kept[0], kept[1]));
      t.is(Buffer.from(kept[1], "latin1").toString("utf8"), "Қала 図");
    });

    it("omit those of one connection and those that only the gateway may set", (t) => {
      const raw = [
        ...[
          "Host",
          "h",
          "Connection",
          "keep-alive, X-Mine",
          "X-Mine",
          "1",
          "Attempt-Id",
          "9c41",
        ],
        ...[
          "Hold",
          "1",
          "Pin-Ms",
          "9",
          "Kv-Backup",
          "a",
          "Kv-From",
          "b",
          "Kv-Fetch",
          "c",
        ],
        ...[
          "Expect-Instance",
          "x",
          "Request-Urgency",
          "0",
          "Deadline-Ms",
          "99",
          "Transfer-Encoding",
          "chunked",
        ],
        ...["Model", "m", "Last-Event-Id", "3"],
      ];
      t.deepEqual(forwardedHeaders(raw, undefined), [
        "Host",
        "h",
        "Attempt-Id",
        "9c41",
        "Model",
        "m",
        "Last-Event-Id",
        "3",
      ]);
    });

    it("name the upstream and the time that is left", (t) => {
      t.deepEqual(
        addSendHeaders(["Host", "h"], { upstreamId: "i-1", workMs: 1234.9 }),
        [
          "Host",
          "h",
          "Deadline-Ms",
          "1234",
          "Expect-Instance",
          "i-1",
        ],
      );
    });

    it("ask to continue after the last event that was passed on", (t) => {
      t.deepEqual(addResumeHeader(["Host", "h", "last-event-id", "3"], "5"), [
        "Host",
        "h",
        "Last-Event-Id",
        "5",
      ]);
    });
  });

  describe("an upstream's answer", () => {
    const decode = (statusCode: number, headers: Record<string, string>) =>
      decodeAnswer(
        {
          statusCode,
          headers,
          rawHeaders: Object.entries(headers).flat(),
        } as unknown as IncomingMessage,
        "9c41",
      );

    const cases: [
      string,
      number,
      Record<string, string>,
      { notRun: boolean; matches: boolean; signed: boolean },
    ][] = [
      ["its own", 200, { "attempt-id": "9c41", "response-stamp": "s" }, {
        notRun: false,
        matches: true,
        signed: true,
      }],
      ["another attempt's", 200, { "attempt-id": "1", "response-stamp": "s" }, {
        notRun: false,
        matches: false,
        signed: true,
      }],
      ["a success without attempt id", 200, { "response-stamp": "s" }, {
        notRun: false,
        matches: false,
        signed: true,
      }],
      ["a refusal", 503, { "not-executed": "1" }, {
        notRun: true,
        matches: true,
        signed: false,
      }],
      ["a plain 503", 503, {}, { notRun: false, matches: true, signed: false }],
      ["another upstream's", 421, {}, {
        notRun: true,
        matches: true,
        signed: false,
      }],
    ];
    for (const [what, status, headers, wanted] of cases) {
      it(`is recognized as ${what}`, (t) => {
        const { notRun, matches, signed } = decode(status, headers);
        t.deepEqual({ notRun, matches, signed }, wanted);
      });
    }

    it("says that its upstream leaves only with the value that the platform defines", (t) => {
      const said = ["1", "0", "", "yes"].filter((value) =>
        decode(200, { "server-leaving": value }).isLeaving
      );
      t.deepEqual(said, ["1"]);
      t.false(decode(200, {}).isLeaving);
    });

    for (
      const [text, ms] of [
        ["3", 3_000],
        ["0.25", 250],
        ["0", 0],
        ["3600", 3_600_000],
        ["-3", undefined],
        ["soon", undefined],
        ["1e3", undefined],
        ["", undefined],
        ["Wed, 21 Oct 2026 07:28:00 GMT", undefined],
      ] as const
    ) {
      it(`asks for ${ms ?? "an unreadable number of"} ms of rest with "${text}"`, (t) => {
        t.deepEqual(decode(503, { "retry-after": text }).rest, { ms, text });
      });
    }

    it("asks for no rest unless it is a 503 with a time", (t) => {
      t.is(decode(503, {}).rest, undefined);
      t.is(decode(500, { "retry-after": "3" }).rest, undefined);
      t.is(decode(200, { "retry-after": "3" }).rest, undefined);
    });
  });

  it("no part of the answer to a move names a run that was stopped", (t) => {
    const whole = JSON.stringify({ handle: "h-1", created: 12 });
    for (const status of [200, 503]) {
      for (let length = 0; length < whole.length; length++) {
        t.is(decodeMove(status, whole.slice(0, length)), undefined);
      }
      t.is(decodeMove(status, whole)?.handle, "h-1");
    }
  });
});
