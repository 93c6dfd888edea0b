/** Stand-in of the platform's metadata store, by PROTOCOL.md. */
import { createServer } from "node:http";
import { text } from "node:stream/consumers";

const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const ROOT = "/gooseberryline/";

/** An in-memory store with leases, transactions and watches. */
export class PlatformStore {
  #items = new Map();
  #leases = new Map();
  #history = [];
  #watchers = new Set();
  #servers = [];
  #sockets = new Set();
  #silent = new WeakSet();
  /** What each connection was last used for: the prefix of a watch, and its end. */
  #uses = new WeakMap();
  #nextLease = 1;
  revision = 100;
  /** Called for each transaction; may return how it is to be answered. */
  onTransaction = () => undefined;

  /** Opens an address of its own, so that callers can be told apart. */
  async listen(name) {
    const server = createServer((req, res) => {
      void this.#handle(name, req, res);
    });
    server.keepAliveTimeout = 60_000;
    server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.callerName = name;
      socket.on("error", () => undefined);
      socket.once("close", () => this.#sockets.delete(socket));
    });
    await new Promise((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
    this.#servers.push(server);
    return `127.0.0.1:${server.address().port}`;
  }

  close() {
    this.#leases.forEach(({ timer }) => {
      clearTimeout(timer);
    });
    this.#sockets.forEach((socket) => {
      socket.destroy();
    });
    this.#servers.forEach((server) => {
      server.close();
    });
  }

  /** Lists the open connections of a caller, with their last use. */
  listConnections(name) {
    return [...this.#sockets]
      .filter((socket) => socket.callerName === name)
      .map((socket) => ({ socket, use: "", ...this.#uses.get(socket) }));
  }

  /** An open connection goes silent for good, without a reset. */
  silence(socket) {
    this.#silent.add(socket);
  }

  read(key) {
    return this.#items.get(key);
  }

  list(prefix) {
    return [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  /** Writes as the operator or a server does. */
  write(key, value) {
    this.#apply([{ key, value: Buffer.from(value).toString("base64") }], []);
  }

  remove(key) {
    this.#apply([], [key]);
  }

  #apply(sets, removes) {
    this.revision += 1;
    const { revision } = this;
    const events = [];
    sets.forEach(({ key, value, lease = 0 }) => {
      const createRev = this.#items.get(key)?.["create-rev"] ?? revision;
      const item = { key, value, revision, "create-rev": createRev, lease };
      this.#items.set(key, item);
      events.push(item);
    });
    removes
      .filter((key) => this.#items.has(key))
      .forEach((key) => {
        this.#items.delete(key);
        events.push({ key, revision, deleted: true });
      });
    this.#history.push(...events);
    [...this.#watchers].forEach((check) => {
      check();
    });
    return revision;
  }

  #transact({ precondition = [], "set-keys": sets = [], remove = [] }) {
    const isMet = precondition.every(
      ({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision,
    );
    if (!isMet) {
      const items = precondition.flatMap(({ key }) => {
        const item = this.#items.get(key);
        return item === undefined ? [] : [item];
      });
      return { status: 412, body: { items } };
    }
    const hasLeases = sets.every(
      ({ lease = 0 }) => lease === 0 || this.#leases.has(lease),
    );
    if (!hasLeases) {
      return { status: 404, body: {} };
    }
    return { status: 200, body: { revision: this.#apply(sets, remove) } };
  }

  #endLease(id) {
    const lease = this.#leases.get(id);
    if (lease === undefined) {
      return false;
    }
    clearTimeout(lease.timer);
    this.#leases.delete(id);
    const keys = [...this.#items.values()]
      .filter((item) => item.lease === id)
      .map(({ key }) => key);
    if (keys.length > 0) {
      this.#apply([], keys);
    }
    return true;
  }

  #keepLease(id) {
    const lease = this.#leases.get(id);
    if (lease === undefined) {
      return undefined;
    }
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => this.#endLease(id), lease.ttlMs);
    return lease;
  }

  async #handle(name, req, res) {
    const body = await text(req).catch(() => undefined);
    if (body === undefined) {
      return;
    }
    const { socket } = req;
    const url = new URL(req.url, "http://store");
    const path = url.pathname.slice(ROOT.length);
    const query = Object.fromEntries(url.searchParams);
    const answer = (status, value) => {
      if (!this.#silent.has(socket) && !res.destroyed) {
        res.writeHead(status, { "content-type": "application/json" });
        res.end(JSON.stringify(value));
      }
    };
    this.#uses.set(socket, {
      use: path === "kv-watch" ? query.prefix : "calls",
      endMs: performance.now() + Number(query["wait-ms"] ?? 0),
    });
    if (this.#silent.has(socket)) {
      return;
    }
    if (path === "kv-watch") {
      this.#watch(query, res, answer);
      return;
    }
    const [call, id] = path.split("/");
    const json = body === "" ? {} : JSON.parse(body);
    switch (call) {
      case "kv-key": {
        const item = this.#items.get(query.key);
        const at = { "store-revision": this.revision };
        answer(item === undefined ? 404 : 200, { ...item, ...at });
        return;
      }
      case "kv-range":
        answer(200, this.#page(query));
        return;
      case "kv-txn": {
        const plan = this.onTransaction(name, json);
        if (plan === undefined) {
          const { status, body: result } = this.#transact(json);
          answer(status, result);
          return;
        }
        // Not answered, and done later if its condition still holds.
        this.silence(socket);
        setTimeout(() => {
          const { status } = this.#transact(json);
          plan.onDone(status);
        }, plan.lateMs);
        return;
      }
      case "kv-lease": {
        const lease = this.#nextLease;
        this.#nextLease += 1;
        const ttlMs = json["ttl-ms"];
        this.#leases.set(lease, { ttlMs, timer: undefined });
        this.#keepLease(lease);
        answer(200, { lease, "ttl-ms": ttlMs });
        return;
      }
      case "kv-keep": {
        const kept = this.#keepLease(Number(id));
        const status = kept === undefined ? 404 : 200;
        answer(status, { lease: Number(id), "ttl-ms": kept?.ttlMs ?? 0 });
        return;
      }
      case "kv-lease-end":
        answer(this.#endLease(Number(id)) ? 200 : 404, {});
        return;
      default:
        answer(404, {});
    }
  }

  #page({ prefix, after = "" }) {
    const items = [];
    let bytes = 0;
    const rest = this.list(prefix).filter(({ key }) => key > after);
    for (const item of rest) {
      bytes += item.value.length;
      const isFull = items.length >= PAGE_ITEMS || bytes > PAGE_BYTES;
      if (items.length > 0 && isFull) {
        break;
      }
      items.push(item);
    }
    const hasMore = items.length < rest.length;
    return { items, "has-more": hasMore, "store-revision": this.revision };
  }

  #watch(query, res, answer) {
    const after = Number(query.after);
    const finish = (events) => {
      this.#watchers.delete(check);
      clearTimeout(timer);
      answer(200, { events, "store-revision": this.revision });
    };
    const check = () => {
      const events = this.#history.filter(
        ({ key, revision }) => revision > after && key.startsWith(query.prefix),
      );
      if (events.length > 0) {
        finish(events);
      }
    };
    const timer = setTimeout(() => finish([]), Number(query["wait-ms"]));
    res.once("close", () => {
      this.#watchers.delete(check);
      clearTimeout(timer);
    });
    this.#watchers.add(check);
    check();
  }
}
