import { describe, it } from "../src/base/describe.ts";
import { formatStream, makeRoute } from "../src/standins/mod.ts";
import { openLab } from "./gateway_lab.ts";
import {
  addScripted,
  formatHead,
  type Script,
  streamScript,
} from "./scripted_upstream.ts";

const WHOLE = formatStream(0, 2);

describe("gateway, a stream that broke off inside an event and goes on elsewhere", () => {
  for (const rest of ["", ": keep\n\n"]) {
    it(`is not framed as complete where the continuation ends in order after ${rest.length} bytes, before that event`, async (t) => {
      const { lab, vm } = await openLab(t, 0);
      const script: Script = (request, socket) =>
        streamScript(
          request.lastEventId === undefined ? `${WHOLE}id: 3\ndata: p` : rest,
        )(request, socket);
      for (let i = 0; i < 2; i++) await addScripted(t, lab, vm, script);
      const answer = await lab.call(vm, { path: "/stream/", method: "POST" });
      t.is(answer.body, WHOLE + rest);
      t.false(answer.isComplete);
    });
  }

  it("is whole where it broke off inside a comment after its last event", async (t) => {
    const { lab, vm } = await openLab(t, 0);
    const script: Script = (request, socket) =>
      streamScript(
        request.lastEventId === undefined ? `${WHOLE}: ke` : "",
      )(request, socket);
    for (let i = 0; i < 2; i++) await addScripted(t, lab, vm, script);
    const answer = await lab.call(vm, { path: "/stream/", method: "POST" });
    t.is(answer.body, WHOLE);
    t.true(answer.isComplete);
  });

  it("is joined to no answer that is not a stream", async (t) => {
    const { lab, vm } = await openLab(t, 0);
    const script: Script = (request, socket) => {
      if (request.lastEventId === undefined) {
        return streamScript(`${WHOLE}id: 3`)(request, socket);
      }
      const head = ["Content-Type: application/json", "Content-Length: 4"];
      socket.write(`${formatHead(request, "200 OK", head)}{}\n\n`);
    };
    for (let i = 0; i < 2; i++) await addScripted(t, lab, vm, script);
    const answer = await lab.call(vm, { path: "/stream/", method: "POST" });
    t.is(answer.body, WHOLE);
    t.false(answer.isComplete);
  });

  it("ends openly where the id of its last event can't be a header's value", async (t) => {
    const { lab, vm } = await openLab(t, 0);
    const script = streamScript("id: a\x01b\ndata: 1\n\nid: 3");
    for (let i = 0; i < 2; i++) await addScripted(t, lab, vm, script);
    await lab.call(vm, { path: "/stream/", method: "POST" });
    const [end] = vm.log.lines.filter(({ event }) => event === "request");
    t.is(end.fields.outcome, "streamBroken");
  });
});

/** Continuations after event 2 of 6 that can't be joined to it, by where they begin. */
const MISPLACED: Readonly<Record<string, string>> = {
  "at its first event": formatStream(0, 6),
  "at its last event": formatStream(1, 6),
  "one event too late": formatStream(3, 6),
};

describe("gateway, a stream whose continuation begins elsewhere than it stopped", () => {
  for (const [place, rest] of Object.entries(MISPLACED)) {
    const misplace: Script = (request, socket) =>
      streamScript(
        request.lastEventId === undefined ? `${WHOLE}id: 3` : rest,
      )(request, socket);

    it(`ends openly, with no event twice or left out: ${place}`, async (t) => {
      const { lab, vm } = await openLab(t, 0);
      for (let i = 0; i < 2; i++) await addScripted(t, lab, vm, misplace);
      const answer = await lab.call(vm, { path: "/stream/", method: "POST" });
      t.is(answer.body, WHOLE);
      t.false(answer.isComplete);
    });

    it(`goes on at another upstream: ${place}`, async (t) => {
      const { lab, vm } = await openLab(t, 0);
      lab.configure([
        makeRoute({
          path_prefix: "/stream/",
          kind: "streaming",
          resumable: true,
          max_attempts: 4,
        }),
      ]);
      let continuations = 0;
      const script: Script = (request, socket) => {
        const isRight = request.lastEventId !== undefined &&
          ++continuations > 1;
        const right = streamScript(
          formatStream(Number(request.lastEventId), 6),
        );
        (isRight ? right : misplace)(request, socket);
      };
      for (let i = 0; i < 3; i++) await addScripted(t, lab, vm, script);
      const answer = await lab.call(vm, { path: "/stream/", method: "POST" });
      t.is(answer.body, formatStream(0, 6));
      t.true(answer.isComplete);
    });
  }

  for (const after of [0, 1]) {
    it(
      `is not passed on to a caller that has event 2 and gets it again, as event ${
        2 - after
      } of the answer`,
      async (t) => {
        const { lab, vm } = await openLab(t, 0);
        const script = streamScript(formatStream(after, 6));
        for (let i = 0; i < 2; i++) await addScripted(t, lab, vm, script);
        const headers = { "last-event-id": "2" };
        const call = lab.call(vm, {
          path: "/stream/",
          method: "POST",
          headers,
        });
        t.is(await call.then(({ body }) => body, () => "closed"), "closed");
      },
    );
  }
});
