/**
 * A stand-in for a runner of a plain service, as PROTOCOL.md describes it: `slots` requests at once and a short queue,
 * `Not-Executed` for what it turns away, 421 for another incarnation, and its entry in the store.
 */
import { createServer } from "node:net";

const REASONS = { 200: "OK", 421: "Misdirected Request", 503: "Service Unavailable" };

export class PlainRunner {
  #sockets = new Set();
  #running = 0;
  #queue = [];
  #seq = 0;
  #answers = 0;

  /** `spoils(n)` tells whether the n-th answer is spoiled; `onRun(id)` is called when a request begins to run. */
  constructor({ id, service, zone, store, slots, queue, workMs, onRun, spoils = () => false, spoil }) {
    Object.assign(this, { id, service, zone, store, slots, queue, workMs, onRun, spoils, spoil });
  }

  async open() {
    this.server = createServer((socket) => this.#serve(socket));
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    this.#beat();
    this.timer = setInterval(() => this.#beat(), 1_200);
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #beat() {
    this.store.put(`servers/${this.id}`, {
      service: this.service,
      address: `127.0.0.1:${this.server.address().port}`,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state: "ready",
      cold_left_ms: 0,
      seq: ++this.#seq,
    });
  }

  /** Reads requests one after the other; all of them have a length or no body. */
  #serve(socket) {
    this.#sockets.add(socket);
    let text = "";
    socket.setEncoding("latin1");
    socket.on("data", (chunk) => {
      text += chunk;
      for (;;) {
        const end = text.indexOf("\r\n\r\n");
        if (end < 0) return;
        const head = text.slice(0, end);
        const length = Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? 0);
        if (text.length < end + 4 + length) return;
        text = text.slice(end + 4 + length);
        this.#take(socket, head);
      }
    });
    socket.on("error", () => {});
    socket.on("close", () => this.#sockets.delete(socket));
  }

  #take(socket, head) {
    const header = (name) => new RegExp(`^${name}: *(.*)$`, "im").exec(head)?.[1];
    const id = header("attempt-id");
    const expected = header("expect-instance");
    if (expected !== undefined && expected !== this.id) {
      return this.#answer(socket, 421, id, "Not-Executed: 1\r\n");
    }
    const job = { socket, id };
    if (this.#running < this.slots) return this.#run(job);
    if (this.#queue.length >= this.queue) {
      return this.#answer(socket, 503, id, "Not-Executed: 1\r\n");
    }
    this.#queue.push(job);
  }

  #run({ socket, id }) {
    if (!socket.destroyed) {
      this.#running++;
      this.onRun(id, this);
      setTimeout(() => {
        this.#running--;
        this.#finish(socket, id);
        this.#next();
      }, this.workMs());
    } else this.#next();
  }

  #next() {
    const job = this.#queue.shift();
    if (job) this.#run(job);
  }

  #finish(socket, id) {
    if (this.spoils(++this.#answers)) return this.spoil(socket, id, this);
    this.#answer(socket, 200, id, `Response-Stamp: ${this.id}.${id}\r\n`, `done ${id}`);
  }

  #answer(socket, status, id, headers, body = "") {
    if (socket.destroyed) return;
    socket.write(
      `HTTP/1.1 ${status} ${REASONS[status]}\r\nAttempt-Id: ${id}\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`,
    );
  }
}
