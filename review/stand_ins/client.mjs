/** Stand-in of the platform's clients, by PROTOCOL.md. */
import { randomBytes } from "node:crypto";
import { request } from "node:http";

const PREFIX = "X-Gooseberryline-";

export function createId() {
  return randomBytes(8).toString("hex");
}

/** Sends one call on a new connection, or by the agent that is given. */
export function call(options) {
  const { address, method = "GET", path, host, key, id, body = "" } = options;
  const { headers = {}, timeoutMs = 5_000, agent = false } = options;
  return new Promise((resolve) => {
    const [hostname, port] = address.split(":");
    const req = request({
      hostname,
      port,
      method,
      path,
      agent,
      headers: {
        Host: host,
        Authorization: `Bearer ${key}`,
        ...(id === undefined ? {} : { [`${PREFIX}Attempt-Id`]: id }),
        ...(body === "" ? {} : { "Content-Length": Buffer.byteLength(body) }),
        ...headers,
      },
    });
    const timer = setTimeout(() => req.destroy(), timeoutMs);
    const settle = (answer) => {
      clearTimeout(timer);
      resolve(answer);
    };
    req.on("error", (error) => settle({ status: 0, text: error.message }));
    req.on("response", (res) => {
      const chunks = [];
      res.on("data", (chunk) => chunks.push(chunk));
      res.on("error", (error) => settle({ status: 0, text: error.message }));
      res.on("end", () => {
        const text = Buffer.concat(chunks).toString();
        settle({ status: res.statusCode, headers: res.headers, text });
      });
    });
    req.end(body);
  });
}

/** Builds the body of a batch job's submission. */
export function buildJob(prefix, count) {
  const items = Array.from({ length: count }, () => {
    const id = createId();
    return {
      id,
      path: `${prefix}item/${id}`,
      headers: {
        "X-Gooseberryline-Model": "m",
        "X-Gooseberryline-Token-Count": "350,1200",
        "X-Gooseberryline-Prompt-Prefix": `${createId()}:100,${id}:250`,
      },
      body: Buffer.from(`body of ${id}`).toString("base64"),
      tokens: 1_550,
    };
  });
  return { ids: items.map(({ id }) => id), body: JSON.stringify({ items }) };
}

/** Submits a batch job; again at the next node if it isn't accepted. */
export async function submitJob({ addresses, host, key, prefix, count }) {
  const id = createId();
  const job = buildJob(prefix, count);
  const statuses = [];
  for (const address of addresses) {
    const send = { address, method: "POST", path: `${prefix}${id}` };
    const answer = await call({ ...send, host, key, id, body: job.body });
    statuses.push(answer.status);
    if (answer.status === 202) {
      break;
    }
  }
  return { id, ids: job.ids, statuses, isAccepted: statuses.at(-1) === 202 };
}

/** Reads all results of a batch job. */
export async function readResults({ address, host, key, id }) {
  const results = [];
  for (;;) {
    const path = `/gooseberryline/lots/${id}?after=${results.length}`;
    const { status, text } = await call({ address, path, host, key });
    if (status !== 200) {
      return { status, results };
    }
    const page = JSON.parse(text);
    results.push(...page.results);
    if (page.results.length === 0 || results.length >= page.total) {
      return { status, results, total: page.total };
    }
  }
}
