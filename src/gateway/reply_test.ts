import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, connect } from "node:net";
import type { ExecutionContext } from "ava";
import { describe, it } from "../base/describe.ts";
import { failure } from "../base/mod.ts";
import { decodeUpstream } from "../platform/mod.ts";
import {
  CallerReply,
  decodeVersion,
  encodeVersion,
  RELAY_HEADERS,
} from "./reply.ts";

const BODY = ["data: a\n\n", "x".repeat(70_000), "é"].map((text) =>
  Buffer.from(text)
);

/** Answers one request with `respond`; returns all bytes of the answer. */
async function readAnswer(
  t: ExecutionContext,
  requestLine: string,
  respond: (response: ServerResponse) => void,
): Promise<string> {
  const server = createServer((_, response) => respond(response))
    .listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => void server.close());
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  socket.write(`${requestLine}\r\nHost: a\r\nConnection: close\r\n\r\n`);
  const chunks: Buffer[] = [];
  for await (const chunk of socket) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString("latin1");
}

describe("the bytes of an answer", () => {
  const length = BODY.reduce((sum, chunk) => sum + chunk.length, 0);
  for (
    const [name, requestLine, bodyBytes, body] of [
      ["in chunks", "GET / HTTP/1.1", undefined, BODY],
      ["in chunks, without any", "GET / HTTP/1.1", undefined, []],
      ["of known length", "GET / HTTP/1.1", length, BODY],
      ["to HTTP/1.0", "GET / HTTP/1.0", undefined, BODY],
      ["to HEAD", "HEAD / HTTP/1.1", undefined, BODY],
    ] as const
  ) {
    // The reply frames chunks itself; an error there would make every stream unreadable.
    it(`${name} are those that Node writes`, async (t) => {
      const headers = ["Content-Type", "text/event-stream"];
      const viaReply = await readAnswer(t, requestLine, (response) => {
        const reply = new CallerReply(response, () => false);
        reply.start(200, headers, bodyBytes);
        for (const chunk of body) reply.write(chunk);
        reply.end();
      });
      const viaNode = await readAnswer(t, requestLine, (response) => {
        response.sendDate = false;
        const more = bodyBytes === undefined
          ? []
          : ["Content-Length", String(bodyBytes)];
        response.writeHead(200, [...headers, ...more]);
        for (const chunk of body) response.write(chunk);
        response.end();
      });
      t.is(viaReply, viaNode);
    });
  }
});

/** Guards against a process that ends as bytes of an answer come after a failure was sent in its place. */
describe("a failure in place of an answer that has begun", () => {
  it("is all that its caller gets", async (t) => {
    const text = await readAnswer(t, "GET / HTTP/1.1", (response) => {
      const reply = new CallerReply(response, () => false);
      reply.start(200, ["Content-Type", "text/plain"], undefined);
      t.false(reply.hasStarted);
      reply.fail(failure("upstreamFailed"), 0);
      t.notThrows(() => reply.write(Buffer.from("late")));
    });
    t.regex(text, /^HTTP\/1\.1 502 /);
    t.false(text.includes("late"));
  });
});

describe("the header that names a version", () => {
  for (
    const [name, version] of [
      ["of plain text", "v1.2"],
      ["that is empty", ""],
      ["of any characters", "v1, \u00e9\r\n%"],
      ["with half a surrogate pair, as JSON can hold it", "v\ud800"],
    ]
  ) {
    it(`names a version ${name}`, (t) => {
      const entry = {
        address: "10.0.0.1:80",
        service: "s",
        zone: "a",
        slots: 1,
        state: "ready",
        version,
      };
      const upstream = decodeUpstream("u", JSON.stringify(entry));
      let sent: string[] = [];
      t.notThrows(() => void (sent = encodeVersion(upstream.version)));
      t.is(
        decodeVersion({ [RELAY_HEADERS.version]: sent[1] }),
        upstream.version,
      );
    });
  }
});
