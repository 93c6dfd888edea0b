/** Stand-in of a model server, by PROTOCOL.md. */
import { createServer } from "node:http";
import { buffer } from "node:stream/consumers";

const PREFIX = "x-gooseberryline-";
const ATTEMPT_ID = `${PREFIX}attempt-id`;
const NOT_EXECUTED = `${PREFIX}not-executed`;
const HEARTBEAT_MS = 1_200;
const QUEUE = 24;

/** Returns the text of an event of a run: the same at each server. */
export function buildEventText(id, event) {
  return `${id}:${event}`;
}

export class ModelServer {
  #parts;
  #server;
  #sockets = new Set();
  #beat;
  #sequence = 0;
  #running = 0;
  #waiting = [];
  #seals = 0;
  /** Called before a request on a connection that has carried others. */
  onReused = () => undefined;
  /** Whether a stream has neither a length nor chunks: it ends with its connection. */
  isUnframed = () => false;
  /** Called for each event that was sent, with its number. */
  onEvent = () => undefined;

  /** `parts`: id, service, zone, slots, events, eventMs, store, record. */
  constructor(parts) {
    this.#parts = parts;
  }

  get running() {
    return this.#running;
  }

  get isFull() {
    return this.#running * 2 >= this.#parts.slots;
  }

  async start() {
    this.#server = createServer((req, res) => {
      void this.#handle(req, res).catch(() => undefined);
    });
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.setNoDelay(true);
      socket.on("error", () => undefined);
      socket.once("close", () => this.#sockets.delete(socket));
    });
    await new Promise((resolve) => {
      this.#server.listen(0, "127.0.0.1", resolve);
    });
    this.#register();
    this.#beat = setInterval(() => this.#register(), HEARTBEAT_MS);
  }

  #register() {
    const { id, service, zone, slots, store } = this.#parts;
    this.#sequence += 1;
    const entry = {
      service,
      address: `127.0.0.1:${this.#server.address().port}`,
      zone,
      version: "1",
      slots,
      state: "ready",
      "cold-left-ms": 0,
      sequence: this.#sequence,
    };
    store.write(`servers/${id}`, JSON.stringify(entry));
  }

  /** It crashes; its entry goes after three heartbeats of silence. */
  crash() {
    const { id, store, record } = this.#parts;
    record({ what: "server-lost", server: id });
    this.stop();
    const timer = setTimeout(
      () => store.remove(`servers/${id}`),
      3 * HEARTBEAT_MS,
    );
    timer.unref();
  }

  stop() {
    clearInterval(this.#beat);
    this.#server.close();
    this.#sockets.forEach((socket) => {
      socket.destroy();
    });
  }

  async #handle(req, res) {
    const { id, slots, record } = this.#parts;
    const attempt = req.headers[ATTEMPT_ID];
    const body = await buffer(req);
    if (req.socket.hasServed === true) {
      this.onReused(req, res);
    }
    req.socket.hasServed = true;
    const refuse = (status) => {
      record({ what: "not-run", server: id, attempt, status });
      res.writeHead(status, { [ATTEMPT_ID]: attempt, [NOT_EXECUTED]: "1" });
      res.end();
    };
    if (req.headers[`${PREFIX}expect-instance`] !== id) {
      refuse(421);
      return;
    }
    if (this.#running >= slots && this.#waiting.length >= QUEUE) {
      refuse(503);
      return;
    }
    if (this.#running >= slots) {
      await new Promise((resolve) => {
        this.#waiting.push(resolve);
      });
    }
    if (res.destroyed) {
      this.#waiting.shift()?.();
      return;
    }
    this.#running += 1;
    try {
      await this.#run(req, res, attempt, body);
    } finally {
      this.#running -= 1;
      this.#waiting.shift()?.();
    }
  }

  async #run(req, res, attempt, body) {
    const { id, events, eventMs, record } = this.#parts;
    const first = Number(req.headers["last-event-id"] ?? 0) + 1;
    const tenant = req.headers[`${PREFIX}tenant`];
    record({ what: "run", server: id, attempt, tenant, first });
    this.#seals += 1;
    const head = {
      [ATTEMPT_ID]: attempt,
      [`${PREFIX}server-seal`]: `${id}.${this.#seals}`,
    };
    if (req.url.includes("/plain/")) {
      await wait(eventMs);
      res.writeHead(200, { ...head, "content-type": "text/plain" });
      res.end(`whole answer to ${attempt}, ${body.length} bytes`);
      record({ what: "answered", server: id, attempt });
      return;
    }
    const isUnframed = this.isUnframed();
    if (isUnframed) {
      res.useChunkedEncodingByDefault = false;
      res.shouldKeepAlive = false;
      record({ what: "unframed", server: id, attempt });
    }
    res.writeHead(200, { ...head, "content-type": "text/event-stream" });
    for (let event = first; event <= events; event += 1) {
      await wait(eventMs);
      if (res.destroyed) {
        record({ what: "dropped", server: id, attempt, event });
        return;
      }
      res.write(`id: ${event}\ndata: ${buildEventText(attempt, event)}\n\n`);
      this.onEvent({ attempt, event, isUnframed });
    }
    res.end();
    record({ what: "answered", server: id, attempt });
  }
}

function wait(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
