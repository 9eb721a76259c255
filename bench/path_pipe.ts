/**
 * A minimal proxy for comparison: a `node:http` server that pipes each call to the next of its upstreams and the
 * response back. `node dist/bench/path_pipe.js URL...` prints `ready: URL`.
 *
 * @module
 */

import { Agent, createServer, request } from "node:http";
import type { AddressInfo } from "node:net";

const upstreams = process.argv.slice(2);
const agent = new Agent({ keepAlive: true, maxSockets: Infinity });
let next = 0;

const server = createServer((req, res) => {
  const url = upstreams[next++ % upstreams.length] + req.url;
  const { method, headers } = req;
  const call = request(url, { method, headers, agent }, (answer) => {
    res.writeHead(answer.statusCode ?? 502, answer.headers);
    answer.pipe(res);
  });
  call.on("error", () => res.destroy());
  req.pipe(call);
});
server.listen(0, "127.0.0.1", () => {
  const { port } = server.address() as AddressInfo;
  console.log(`ready: http://127.0.0.1:${port}`);
});
