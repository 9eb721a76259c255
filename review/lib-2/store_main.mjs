// The project's own stand-in of the platform's store, as a process of its own.
// Reads one JSON command a line from standard input: {"put": [key, value]} or {"remove": key}.
// Prints {"address": "IP:PORT"} when it is ready, and {"done": N, "atMs": T} once command N is in force (T: Unix ms).
import { createInterface } from "node:readline";
import { KvServer } from "../../dist/src/standins/mod.js";

const store = new KvServer({ readsPerS: 2_000, writesPerS: 400 });
// A header that is not on the users' pages is not sent.
store.era = undefined;
console.log(JSON.stringify({ address: await store.openAddressFor("any") }));
let done = 0;
for await (const line of createInterface({ input: process.stdin })) {
  const { put, remove } = JSON.parse(line);
  if (put) store.put(put[0], put[1]);
  if (remove) store.remove(remove);
  console.log(JSON.stringify({ done: ++done, atMs: Date.now() }));
}
process.exit(0);
