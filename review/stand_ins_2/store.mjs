// Stand-in of the platform's metadata store (PROTOCOL.md, "The platform's
// metadata store"): in memory, linearizable, with leases and watches.
import { createServer } from "node:http";
import { text } from "node:stream/consumers";

const PAGE_ITEMS = 500;
const MAX_ENTRIES = 32;
const WATCH_POLL_MS = 10;

/**
 * `decideFate(call)` may return "refused" (503, nothing done), "lost" (done, never
 * answered) or { after, onDone } (done after that promise if its condition still holds,
 * never answered); anything else is a sound call. `onAnswer(call, status)` is told of
 * each call that was answered.
 */
export async function startStore({
  decideFate = () => "done",
  onAnswer = () => undefined,
} = {}) {
  const items = new Map();
  const history = [];
  const leases = new Map();
  const state = { revision: 1, leaseCount: 0 };
  const sockets = new Set();

  const expire = () => {
    const now = performance.now();
    for (const [id, lease] of [...leases]) {
      if (lease.endMs <= now) {
        endLease(id);
      }
    }
  };
  const endLease = (id) => {
    leases.delete(id);
    const keys = [...items.values()].filter((item) => item.lease === id);
    if (keys.length > 0) {
      state.revision += 1;
      for (const { key } of keys) {
        removeKey(key);
      }
    }
  };
  const removeKey = (key) => {
    if (items.delete(key)) {
      history.push({ key, revision: state.revision, deleted: true });
    }
  };
  const commit = (body) => {
    expire();
    const expected = body.precondition ?? [];
    const set = body["set-keys"] ?? [];
    const remove = body.remove ?? [];
    if (expected.length + set.length + remove.length > MAX_ENTRIES) {
      return [400, {}];
    }
    if (set.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) {
      return [404, {}];
    }
    const isMet = expected.every(
      ({ key, revision }) => (items.get(key)?.revision ?? 0) === revision,
    );
    if (!isMet) {
      const present = expected.flatMap(({ key }) => items.get(key) ?? []);
      return [412, { items: present }];
    }
    state.revision += 1;
    const { revision } = state;
    set.forEach(({ key, value, lease = 0 }) => {
      const created = items.get(key)?.["create-rev"] ?? revision;
      const item = { key, value, revision, "create-rev": created, lease };
      items.set(key, item);
      history.push(item);
    });
    remove.forEach(removeKey);
    return [200, { revision }];
  };
  const listChanges = (prefix, after) =>
    history.filter((e) => e.revision > after && e.key.startsWith(prefix));

  async function answer(method, url, body, isOpen) {
    expire();
    const path = url.pathname.replace("/gooseberryline/", "");
    const get = (name) => url.searchParams.get(name) ?? "";
    const revision = { "store-revision": state.revision };
    if (method === "GET" && path === "kv-key") {
      const item = items.get(get("key"));
      return item ? [200, { ...item, ...revision }] : [404, revision];
    }
    if (method === "GET" && path === "kv-range") {
      const found = [...items.values()]
        .filter(({ key }) => key.startsWith(get("prefix")))
        .filter(({ key }) => key > get("after"))
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      const page = found.slice(0, PAGE_ITEMS);
      const hasMore = page.length < found.length;
      return [200, { items: page, "has-more": hasMore, ...revision }];
    }
    if (method === "GET" && path === "kv-watch") {
      const endMs = performance.now() + Number(get("wait-ms"));
      const after = Number(get("after"));
      while (isOpen()) {
        expire();
        const events = listChanges(get("prefix"), after);
        if (events.length > 0 || performance.now() >= endMs) {
          return [200, { events, "store-revision": state.revision }];
        }
        await new Promise((resolve) => setTimeout(resolve, WATCH_POLL_MS));
      }
      return [503, {}];
    }
    if (method === "POST" && path === "kv-txn") {
      return commit(body);
    }
    if (method === "POST" && path === "kv-lease") {
      state.leaseCount += 1;
      const ttlMs = body["ttl-ms"];
      const endMs = performance.now() + ttlMs;
      leases.set(state.leaseCount, { ttlMs, endMs });
      return [200, { lease: state.leaseCount, "ttl-ms": ttlMs }];
    }
    const id = Number(path.split("/").at(-1));
    const lease = leases.get(id);
    if (method === "POST" && path.startsWith("kv-keep/")) {
      if (lease === undefined) {
        return [404, {}];
      }
      lease.endMs = performance.now() + lease.ttlMs;
      return [200, { lease: id, "ttl-ms": lease.ttlMs }];
    }
    if (method === "DELETE" && path.startsWith("kv-lease-end/")) {
      endLease(id);
      return [200, {}];
    }
    return [400, {}];
  }

  const server = createServer(async (req, res) => {
    try {
      const raw = await text(req);
      const body = raw === "" ? {} : JSON.parse(raw);
      const url = new URL(req.url, "http://store");
      const call = { method: req.method, path: url.pathname, body };
      const fate = await decideFate(call);
      if (fate === "refused") {
        res.writeHead(503).end("{}");
        return;
      }
      if (typeof fate === "object") {
        await fate.after;
        const [status] = await answer(req.method, url, body, () => true);
        fate.onDone?.(status);
        return;
      }
      const isOpen = () => !res.destroyed;
      const [status, value] = await answer(req.method, url, body, isOpen);
      if (fate !== "lost" && !res.destroyed) {
        res.writeHead(status, { "content-type": "application/json" });
        res.end(JSON.stringify(value));
        onAnswer(call, status);
      }
    } catch {
      res.destroy();
    }
  });
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  const encode = (value) =>
    Buffer.from(JSON.stringify(value)).toString("base64");
  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Writes a record as the operator or a server does. */
    write: (key, value) =>
      commit({ "set-keys": [{ key, value: encode(value) }] }),
    remove: (key) => commit({ remove: [key] }),
    /** Returns a record's value, decoded. */
    read: (key) => {
      const item = items.get(key);
      return item && JSON.parse(Buffer.from(item.value, "base64").toString());
    },
    list: (prefix) => [...items.keys()].filter((key) => key.startsWith(prefix)),
    close: () => {
      server.close();
      for (const socket of sockets) {
        socket.destroy();
      }
    },
  };
}
