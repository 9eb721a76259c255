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

  it("is joined to no answer of another status", async (t) => {
    const { lab, vm } = await openLab(t, 0);
    const script: Script = (request, socket) => {
      if (request.lastEventId !== undefined) {
        return streamScript(formatStream(2, 6))(request, socket);
      }
      const type = ["Content-Type: text/event-stream"];
      socket.end(`${formatHead(request, "400 Bad Request", type)}${WHOLE}id`);
    };
    for (let i = 0; i < 2; i++) await addScripted(t, lab, vm, script);
    const answer = await lab.call(vm, { path: "/stream/", method: "POST" });
    t.is(answer.status, 400);
    t.is(answer.body, `${WHOLE}id`);
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
        const { status, body } = await lab.call(vm, {
          path: "/stream/",
          method: "POST",
          headers,
        });
        t.is(status, 502);
        t.notRegex(body, /data:/);
      },
    );
  }

  for (const ids of [["1", "1"], ["2", "1"], ["a", "a"]]) {
    it(`is not continued after ids that repeat or go back: ${ids}`, async (t) => {
      const { lab, vm } = await openLab(t, 0);
      const events = ids.map((id) => `id: ${id}\ndata: x\n\n`).join("");
      const script = streamScript(`${events}id`);
      const upstreams = [
        await addScripted(t, lab, vm, script),
        await addScripted(t, lab, vm, script),
      ];
      const answer = await lab.call(vm, { path: "/stream/", method: "POST" });
      t.is(answer.body, events);
      t.false(answer.isComplete);
      t.is(upstreams[0].requests.length + upstreams[1].requests.length, 1);
    });
  }

  const idsOfStreams = [
    ["6", "12", "20", "21"],
    ["0", "1", "2", "3"],
    ["1", "3", "4", "6"],
    ["a", "b", "c", "d"],
    ["10000000000000000001", "10000000000000000002", "10000000000000000003"],
  ];
  for (const ids of idsOfStreams) {
    it(`goes on where its ids are ${ids}`, async (t) => {
      const { lab, vm } = await openLab(t, 0);
      const events = ids.map((id) => `id: ${id}\ndata: x\n\n`);
      const script: Script = (request, socket) => {
        const at = ids.indexOf(request.lastEventId ?? "") + 1;
        const part = events.slice(at, at === 0 ? 2 : undefined).join("");
        streamScript(at === 0 ? `${part}id` : part)(request, socket);
      };
      for (let i = 0; i < 2; i++) await addScripted(t, lab, vm, script);
      const answer = await lab.call(vm, { path: "/stream/", method: "POST" });
      t.is(answer.body, events.join(""));
      t.true(answer.isComplete);
    });
  }
});
