// Plain servers of one service that run each request for a while and answer with their stamp.
// Arguments: count, work in ms. Prints {"servers": [{"id", "address"}]}; answers {"runs": true} with all runs so far.
import { createServer } from "node:http";
import { once } from "node:events";
import { createInterface } from "node:readline";

const [count, workMs] = process.argv.slice(2).map(Number);
const runs = [];
const servers = [];
for (let i = 0; i < count; i++) {
  const id = `i-${(0x7f3a0000 + i).toString(16)}`;
  const server = createServer(async (request, response) => {
    for await (const _ of request);
    const attempt = request.headers["attempt-id"];
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== id) {
      return void response.writeHead(421, { "instance-id": id }).end();
    }
    runs.push([attempt, id, Date.now()]);
    setTimeout(() => {
      response.writeHead(200, { "attempt-id": attempt, "response-stamp": `${id}.${attempt}` }).end("done");
    }, workMs);
  });
  server.keepAliveTimeout = 10_000;
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  servers.push({ id, address: `127.0.0.1:${server.address().port}` });
}
console.log(JSON.stringify({ servers }));
for await (const line of createInterface({ input: process.stdin })) {
  if (JSON.parse(line).runs) console.log(JSON.stringify({ runs }));
}
process.exit(0);
