import { describe, it } from "../base/describe.ts";
import {
  explainRequest,
  type Fate,
  fateOf,
  parseLine,
  summarize,
} from "./mod.ts";

const LINES = [
  'time=2026-01-01T00:00:01.000Z level=info event="upstream known" vm=a upstream=u1 state=ready',
  "no line of ours",
  '  3.2 a time=2026-01-01T00:00:02.000Z level=warn event="sent again" vm=a attempt=9c place=u1 reason="read ECONNRESET" sends=1',
  'time=2026-01-01T00:00:02.500Z level=warn event=request vm=b attempt=9c relayed=true outcome=queueFull place=""',
  'time=2026-01-01T00:00:03.000Z level=warn event=request vm=a attempt=9c relayed=false outcome=upstreamFailed reason="said \\"no\\"" place=u1 sends=1',
  "time=2026-01-01T00:00:03.000Z level=info event=request vm=a attempt=other outcome=ok",
].map(parseLine).filter((line) => line !== undefined);

describe("explain", () => {
  it("reads quoted values and skips lines that are not the gateway's", (t) => {
    t.is(LINES.length, 5);
    t.is(LINES[3].fields.reason, 'said "no"');
  });

  it("lists a request's events on two VMs in order, with the cause from its caller's VM", (t) => {
    const explanation = explainRequest("9c", LINES)!;
    t.deepEqual(explanation.lines.map(({ event }) => event), [
      "upstream known",
      "sent again",
      "request",
      "request",
    ]);
    t.regex(
      explanation.cause,
      /may have run, and its route allows no other send; reason: said "no"; last place: u1/,
    );
  });

  it("shows which upstreams a rejected request crashed, when, and which VM saw it", (t) => {
    const lines = [
      'time=2026-01-01T00:00:01.000Z level=warn event="upstream ended under" vm=b request=d1 upstream=u7 ends=1 standing=suspected',
      'time=2026-01-01T00:00:02.000Z level=warn event="upstream ended under" vm=b request=d2 upstream=u8 ends=1 standing=suspected',
      "time=2026-01-01T00:00:03.000Z level=warn event=request vm=a attempt=a7 request=d1 standing=rejected ends=u7,u9 outcome=endsUpstreams",
    ].map((line) => parseLine(line)!);
    const explanation = explainRequest("a7", lines)!;
    t.deepEqual(
      explanation.lines.map(({ vm, fields }) => [vm, fields.upstream]),
      [["b", "u7"], ["a", undefined]],
    );
    t.regex(explanation.cause, /not run again; .*ended under it: u7,u9/);
  });

  it("shows on which evidence a part of a prompt was refused, from the requests of others", (t) => {
    const lines = [
      'time=2026-01-01T00:00:01.000Z level=warn event="upstream ended under" vm=b request=d1 parts=p1:1+3,p2:1+0 upstream=u7 ends=1 standing=clear blamed=d1',
      'time=2026-01-01T00:00:02.000Z level=warn event="suspect cleared" vm=c request=d2 traits=p1:1 ends=1',
      'time=2026-01-01T00:00:02.500Z level=warn event="upstream ended under" vm=b request=d4 parts=p8:1+0 upstream=u8 ends=1 standing=clear blamed=d4',
      'time=2026-01-01T00:00:03.000Z level=warn event="suspect on trial" vm=b request=d3 blamed=p2 isTaken=true',
      "time=2026-01-01T00:00:04.000Z level=warn event=request vm=a attempt=a7 request=d9 parts=p1,p2 standing=rejected blamed=p2 ends=u7,u9,u9!d3 outcome=partEndsUpstreams",
    ].map((line) => parseLine(line)!);
    const explanation = explainRequest("a7", lines)!;
    t.deepEqual(
      explanation.lines.map(({ vm, event }) => [vm, event]),
      [
        ["b", "upstream ended under"],
        ["b", "suspect on trial"],
        ["a", "request"],
      ],
    );
    t.regex(explanation.cause, /blamed part .*ended under p2: u7,u9,u9!d3/);
  });

  it("shows which version began a stream and which upstreams continued it", (t) => {
    const lines = [
      'time=2026-01-01T00:00:03.000Z level=warn event=request vm=a attempt=a7 place=u7@1 version=v1 continuedBy=u8@1/v1,u7@1/v1 notContinued="no upstream is left" outcome=ok',
    ].map((line) => parseLine(line)!);
    t.regex(
      explainRequest("a7", lines)!.cause,
      /began at version v1; continued by u8@1\/v1,u7@1\/v1; not continued: no upstream is left/,
    );
  });

  it("shows how a VM knew which version began a stream, or why the stream was refused", (t) => {
    const explain = (fields: string) =>
      explainRequest("a8", [
        parseLine(
          `time=2026-01-01T00:00:03.000Z level=warn event=request vm=a attempt=a8 ${fields}`,
        )!,
      ])!.cause;
    t.regex(
      explain(
        "firstAttempt=a7 firstVersion=v1 originFrom=asked originAgeMs=900 outcome=ok",
      ),
      /goes on after a7 at version v1 \(known from: asked, 900 ms old\)/,
    );
    t.regex(
      explain("firstAttempt=a7 originRefused=gone outcome=cannotResume"),
      /could not go on after a7: the version that began it is gone/,
    );
    t.regex(
      explain(
        'firstAttempt=a7 firstVersion=v2 originFrom="only version" originWatchedMs=900 originReplies=2 outcome=ok',
      ),
      /at version v2 \(known from: only version, by 900 ms of watching and 2 other VMs\)/,
    );
    t.regex(
      explain("version=unknown firstProcess=replaced outcome=streamBroken"),
      /the upstream that began it had been replaced by a process/,
    );
    t.regex(
      explain("firstVersion=v1 process=unproven outcome=noUpstream"),
      /its last upstream did not say which process it is/,
    );
  });

  it("shows which upstreams asked for rest before a request that was sent to none", (t) => {
    const lines = [
      'time=2026-01-01T00:00:01.000Z level=warn event="upstream asks for rest" vm=a upstream=u7 restMs=3000 attempt=b1',
      'time=2026-01-01T00:00:01.000Z level=warn event="upstream asks for rest" vm=b upstream=u8 restMs=3000 attempt=b2',
      'time=2026-01-01T00:00:02.000Z level=warn event=request vm=a attempt=a8 place="" here=3 resting=3 elsewhere=nobody outcome=queueFull',
    ].map((line) => parseLine(line)!);
    const { cause } = explainRequest("a8", lines)!;
    t.regex(cause, /of these, 3 had asked this VM for rest/);
    t.regex(cause, /meanwhile: upstream asks for rest \(u7\)$/);
  });

  it("shows that the store came back from a copy before a request", (t) => {
    const lines = [
      'time=2026-01-01T00:00:01.000Z level=warn event="store restored" vm=a prefix=op/ from=store generation=2 rev=21 knownRev=25',
      "time=2026-01-01T00:00:02.000Z level=info event=request vm=a attempt=a9 place=u1 outcome=ok",
    ].map((line) => parseLine(line)!);
    t.regex(explainRequest("a9", lines)!.cause, /meanwhile: store restored$/);
  });

  it("shows which newer configuration others had, and how each VM came by its own", (t) => {
    const lines = [
      'time=2026-01-01T00:00:01.000Z level=info event="config in force" vm=a configVersion=6 rev=5 from=store readBy=a readAgoMs=0 isReader=true storeAnsweredAgoMs=0',
      'time=2026-01-01T00:00:02.000Z level=info event="config in force" vm=b configVersion=3 rev=2 from=c readBy=c readAgoMs=9 isReader=false storeAnsweredAgoMs=40',
      "time=2026-01-01T00:00:08.000Z level=warn event=request vm=b attempt=a9 configVersion=3 outcome=notFound",
    ].map((line) => parseLine(line)!);
    const { cause, lines: shown } = explainRequest("a9", lines)!;
    t.regex(
      cause,
      /by configuration 3 in force on b for 6000 ms, from c, read by c, revision 2, the store had answered this VM 40 ms before; newer: 6 in force on a for 7000 ms, from store, read by a, revision 5, the store had answered this VM 0 ms before, it reads the store for its region$/,
    );
    t.is(shown.length, 3);
  });

  it("tells when a VM that refused last knew that it had the newest configuration", (t) => {
    const lines = [
      'time=2026-01-01T00:00:01.000Z level=info event="config in force" vm=a configVersion=6 from=store',
      'time=2026-01-01T00:00:02.000Z level=info event="config in force" vm=b configVersion=3 from=c',
      "time=2026-01-01T00:00:08.000Z level=warn event=request vm=b attempt=a9 configVersion=3 configAgreedAgoMs=6900 outcome=notFound",
    ].map((line) => parseLine(line)!);
    t.regex(
      explainRequest("a9", lines)!.cause,
      /configuration 3 .*, last known to be the newest 6900 ms before; newer: 6 /,
    );
  });

  it("names the first VM that had the newest configuration, in whatever order the logs come", (t) => {
    const lines = [
      'time=2026-01-01T00:00:04.000Z level=info event="config in force" vm=c configVersion=6 from=a readBy=a',
      'time=2026-01-01T00:00:03.000Z level=info event="config in force" vm=a configVersion=6 from=store readBy=a',
      "time=2026-01-01T00:00:08.000Z level=warn event=request vm=b attempt=a9 outcome=noTable",
    ].map((line) => parseLine(line)!);
    t.regex(
      explainRequest("a9", lines)!.cause,
      /handled without a configuration; newer: 6 in force on a for 5000 ms, from store/,
    );
  });

  it("says nothing of configurations where the newest one handled the request", (t) => {
    const lines = [
      'time=2026-01-01T00:00:01.000Z level=info event="config in force" vm=b configVersion=6 rev=5 from=store',
      "time=2026-01-01T00:00:02.000Z level=warn event=request vm=a attempt=a9 configVersion=6 outcome=notFound",
    ].map((line) => parseLine(line)!);
    t.notRegex(explainRequest("a9", lines)!.cause, /configuration 6/);
  });

  it("tells how a body ended, and what was taken from it", (t) => {
    const line = parseLine(
      "time=2026-01-01T00:00:01.000Z level=info event=request vm=a attempt=a9 framing=connection bodyEnd=inOrder bodyBytes=90 events=3 heldBytes=4 insideEvent=true concluded=whole outcome=ok",
    )!;
    t.regex(
      explainRequest("a9", [line])!.cause,
      /the answer \(framed by connection\) ended in order inside an event after 90 bytes with 3 whole events, 4 bytes held back, taken as whole/,
    );
  });

  it("explains nothing for a request that no line names", (t) => {
    t.is(explainRequest("nobody", LINES), undefined);
  });

  it("distinguishes a stream that was too slow from an upstream that did not answer", (t) => {
    const causeOf = (rest: string) =>
      explainRequest("a1", [
        parseLine(
          `time=2026-01-01T00:00:09.000Z level=warn event=request vm=a attempt=a1 outcome=upstreamTimeout ${rest}`,
        )!,
      ])!.cause;
    t.regex(causeOf("firstByteMs=288"), /too slow to end before the deadline/);
    t.regex(causeOf("sends=1"), /did not answer before the deadline/);
  });

  describe("summary", () => {
    const line = (rest: string) =>
      parseLine(
        `time=2026-01-01T00:00:01.000Z level=info event=request vm=a route=r objectiveMs=800 gapMs=600 ${rest}`,
      )!;
    const cases: [string, Fate][] = [
      ["kind=stream outcome=ok firstByteMs=700 longestPauseMs=90", "on time"],
      [
        "kind=stream outcome=ok firstByteMs=900 longestPauseMs=90",
        "late start",
      ],
      [
        "kind=stream outcome=ok firstByteMs=70 longestPauseMs=601",
        "long pause",
      ],
      ["kind=idempotent outcome=ok firstByteMs=9 totalMs=810", "late start"],
      ["kind=stream outcome=upstreamTimeout firstByteMs=70", "out of time"],
      ["kind=stream outcome=streamBroken", "broken"],
      ["kind=stream outcome=queueFull", "no capacity"],
      ["kind=stream outcome=noUpstream", "no capacity"],
      ["kind=stream outcome=rateLimited", "over quota"],
      ["kind=stream outcome=draining", "refused"],
      ["kind=stream outcome=canceled", "caller left"],
    ];
    for (const [rest, fate] of cases) {
      it(`gives "${fate}" for ${rest}`, (t) => {
        t.is(fateOf(line(rest)), fate);
      });
    }

    it("counts by route and fate, and counts a relayed request once", (t) => {
      const ok = "kind=stream outcome=ok firstByteMs=1";
      t.deepEqual(
        summarize([
          line(ok),
          line(ok),
          line(`${ok} relayed=true`),
          line("kind=stream outcome=queueFull"),
        ]),
        [
          { group: "r", fate: "on time", requests: 2, queued: 0 },
          { group: "r", fate: "no capacity", requests: 1, queued: 0 },
        ],
      );
    });

    it("counts by workspace, and by the region of the VM", (t) => {
      const lines = [
        parseLine(
          "time=2026-01-01T00:00:00.000Z level=info event=starting vm=a region=north",
        )!,
        line("kind=stream outcome=queueFull workspace=w1"),
        line("kind=stream outcome=rateLimited workspace=w2"),
        line("kind=stream outcome=ok firstByteMs=1 workspace=w2 queuedMs=20"),
      ];
      t.deepEqual(
        summarize(lines, "workspace").map(({ group, fate, queued }) =>
          `${group}: ${fate}, ${queued} queued`
        ),
        [
          "w1: no capacity, 0 queued",
          "w2: over quota, 0 queued",
          "w2: on time, 1 queued",
        ],
      );
      t.deepEqual(
        summarize(lines, "region").map(({ group, requests }) => [
          group,
          requests,
        ]),
        [["north", 1], ["north", 1], ["north", 1]],
      );
    });
  });
});
