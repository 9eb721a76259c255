/**
 * A stand-in for a model runner, as PROTOCOL.md describes it, with short streams: `slots` requests at once, more wait;
 * cold for `coldMs` after a start during traffic; starts again under a new id, or under the id that it had, with a new `born`.
 */
import { createServer } from "node:http";

export class Engine {
  #seq = 0;
  #running = 0;
  #waiting = [];
  #sockets = new Set();
  #startedMs = performance.now();
  #isFirst = true;
  isUp = false;

  /** `onArrival(id, engine)` is called for each request that arrives, `onRun` for each that begins to run. */
  constructor(options) {
    Object.assign(this, options);
  }

  /** Time for which it stays cold, in ms; only starts during traffic are cold. */
  get coldLeftMs() {
    if (this.#isFirst) return 0;
    return Math.max(0, Math.round(this.#startedMs + this.coldMs - performance.now()));
  }

  /** Starts the process of the runner, and registers it; the entry of an id that it gives up is removed after a while. */
  async start(id = this.id) {
    if (id !== this.id) {
      const key = `servers/${this.id}`;
      setTimeout(() => this.store.remove(key), 3 * 1_200).unref();
      this.id = id;
    }
    this.server = createServer((request, response) => this.#take(request, response));
    this.server.keepAliveTimeout = 30_000;
    this.server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(this.port ?? 0, "127.0.0.1", resolve);
    });
    this.port = this.server.address().port;
    this.born = Date.now();
    this.#seq = 0;
    this.#startedMs = performance.now();
    this.isUp = true;
    this.#beat();
    this.timer = setInterval(() => this.#beat(), 1_200);
  }

  /** Crashes: its connections are reset, and nothing listens at its address. */
  async crash() {
    clearInterval(this.timer);
    this.isUp = false;
    this.#isFirst = false;
    this.#waiting = [];
    this.#running = 0;
    const { server } = this;
    const closed = new Promise((resolve) => server.close(resolve));
    for (const socket of this.#sockets) socket.resetAndDestroy();
    await closed;
  }

  close() {
    clearInterval(this.timer);
    this.server?.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #beat() {
    this.store.put(`servers/${this.id}`, {
      service: this.service,
      address: `127.0.0.1:${this.port}`,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state: "ready",
      cold_left_ms: this.coldLeftMs,
      born: this.born,
      seq: ++this.#seq,
    });
  }

  #take(request, response) {
    const id = request.headers["attempt-id"];
    const expected = request.headers["expect-instance"];
    request.resume();
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "Attempt-Id": id, "Not-Executed": "1", "Content-Length": 0 }).end();
      return;
    }
    this.onArrival(id, this);
    const job = { id, response, born: this.born };
    if (this.#running < this.slots) this.#run(job);
    else this.#waiting.push(job);
  }

  #run({ id, response, born }) {
    this.#running++;
    this.onRun?.(id, this);
    let event = 0;
    const next = () => {
      if (born !== this.born || !this.isUp) return;
      if (response.destroyed) return this.#end();
      if (event === 0) {
        response.writeHead(200, {
          "Attempt-Id": id,
          "Response-Stamp": `${this.id}.${id}`,
          "Content-Type": "text/event-stream",
          "Weight-Versions": "1",
        });
      }
      event++;
      response.write(`id: ${event}\ndata: ${id} ${event}\n\n`);
      if (event < this.events) return void setTimeout(next, this.gapMs);
      response.end();
      this.#end();
    };
    setTimeout(next, this.firstMs);
  }

  #end() {
    this.#running--;
    const job = this.#waiting.shift();
    if (job) this.#run(job);
  }
}
