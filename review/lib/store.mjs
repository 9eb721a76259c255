/**
 * A small stand-in for the platform's metadata store, as PROTOCOL.md describes it: items with revisions, paged
 * listings, watches, transactions and leases. One process, in memory.
 */
import { createServer } from "node:http";

const PAGE_ITEMS = 500;

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString("utf8");
  return text === "" ? {} : JSON.parse(text);
}

export class Store {
  #items = new Map();
  #history = [];
  #rev = 1;
  #leases = new Map();
  #lastLease = 0;
  #waiting = new Set();
  #servers = [];
  #timer = setInterval(() => this.#expire(), 100);

  /** Opens one more address of the store; each VM may get its own. */
  async open(port = 0, host = "127.0.0.1") {
    const server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    await new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, host, resolve);
    });
    this.#servers.push(server);
    return `${host}:${server.address().port}`;
  }

  close() {
    clearInterval(this.#timer);
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** Writes as an operator or a runner does. Returns when the write is acknowledged. */
  put(key, value) {
    this.#commit([{ key, value: Buffer.from(JSON.stringify(value)).toString("base64"), lease: 0 }], []);
  }

  remove(key) {
    if (this.#items.has(key)) this.#commit([], [key]);
  }

  #commit(writes, removed) {
    const rev = ++this.#rev;
    for (const { key, value, lease } of writes) {
      const created = this.#items.get(key)?.created ?? rev;
      const item = { key, value, revision: rev, created, lease: lease ?? 0 };
      this.#items.set(key, item);
      this.#history.push(item);
    }
    for (const key of removed) {
      if (!this.#items.delete(key)) continue;
      this.#history.push({ key, revision: rev, deleted: true });
    }
    for (const check of [...this.#waiting]) check();
    return rev;
  }

  #expire() {
    const now = performance.now();
    for (const [id, { until }] of this.#leases) {
      if (until > now) continue;
      this.#endLease(id);
    }
  }

  #endLease(id) {
    this.#leases.delete(id);
    const keys = [...this.#items.values()].filter(({ lease }) => lease === id).map(({ key }) => key);
    if (keys.length > 0) this.#commit([], keys);
  }

  async #handle(request, response) {
    const url = new URL(request.url, "http://store");
    const body = request.method === "POST" ? await readBody(request) : {};
    const answer = (status, value) => {
      if (response.destroyed) return;
      const text = JSON.stringify(value ?? {});
      response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
      response.end(text);
    };
    const query = (name) => url.searchParams.get(name);
    if (url.pathname === "/api/kv-key") {
      const item = this.#items.get(query("key"));
      return answer(item ? 200 : 404, { ...item, current_rev: this.#rev });
    }
    if (url.pathname === "/api/kv-range") {
      const all = [...this.#items.values()]
        .filter(({ key }) => key.startsWith(query("path_prefix")) && key > (query("after") ?? ""))
        .sort((a, b) => a.key < b.key ? -1 : 1);
      return answer(200, {
        items: all.slice(0, PAGE_ITEMS),
        more_pages: all.length > PAGE_ITEMS,
        current_rev: this.#rev,
      });
    }
    if (url.pathname === "/api/kv-watch") return this.#watch(query, response, answer);
    if (url.pathname === "/api/kv-txn") return this.#transact(body, answer);
    if (url.pathname === "/api/kv-lease") {
      const id = ++this.#lastLease;
      this.#leases.set(id, { ttl: body.ttl_ms, until: performance.now() + body.ttl_ms });
      return answer(200, { lease: id, ttl_ms: body.ttl_ms });
    }
    const keep = /^\/api\/kv-keep\/(\d+)$/.exec(url.pathname);
    if (keep) {
      const lease = this.#leases.get(Number(keep[1]));
      if (!lease) return answer(404);
      lease.until = performance.now() + lease.ttl;
      return answer(200, { ttl_ms: lease.ttl });
    }
    const end = /^\/api\/kv-lease-end\/(\d+)$/.exec(url.pathname);
    if (end && request.method === "DELETE") {
      if (!this.#leases.has(Number(end[1]))) return answer(404);
      this.#endLease(Number(end[1]));
      return answer(200);
    }
    answer(404);
  }

  #watch(query, response, answer) {
    const after = Number(query("after"));
    const prefix = query("path_prefix");
    const eventsNow = () => this.#history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    const finish = () => {
      clearTimeout(timer);
      this.#waiting.delete(check);
      answer(200, { events: eventsNow(), current_rev: this.#rev });
    };
    const check = () => {
      if (response.destroyed) this.#waiting.delete(check);
      else if (eventsNow().length > 0) finish();
    };
    const timer = setTimeout(finish, Math.min(30_000, Number(query("wait_ms"))));
    this.#waiting.add(check);
    check();
  }

  #transact({ precondition = [], writes = [], remove = [] }, answer) {
    const keys = [...writes.map(({ key }) => key), ...remove];
    if (keys.some((key) => key.startsWith("op/") || key.startsWith("servers/"))) return answer(403);
    const holds = precondition.every(({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision);
    if (!holds) {
      const items = precondition.map(({ key }) => this.#items.get(key)).filter(Boolean);
      return answer(412, { items });
    }
    if (writes.some(({ lease }) => lease && !this.#leases.has(lease))) return answer(404);
    answer(200, { revision: this.#commit(writes, remove) });
  }
}
