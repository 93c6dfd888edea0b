import {
  Agent,
  createServer,
  type IncomingMessage,
  request,
  type ServerResponse,
} from "node:http";
import { got } from "got";

const COALESCE_MS = 10;
const PATH = "/v1/chat/completions";

/** Baseline relay implementations, without routing, limits or retries. */
export type RelayKind = "got-stream" | "http-pipe" | "http-coalesced";

export type Relay = { readonly url: string; readonly close: () => void };

type RelayFunction = (url: string, body: Buffer, res: ServerResponse) => void;

const RELAY_FUNCTIONS: Readonly<Record<RelayKind, RelayFunction>> = {
  "got-stream": (url, body, res) => void relayByGot(url, body, res),
  "http-pipe": (url, body, res) =>
    sendUpstreamRequest(url, body, (upstreamResponse) => {
      res.writeHead(200, { "content-type": "text/event-stream" });
      upstreamResponse.pipe(res);
    }),
  "http-coalesced": (url, body, res) =>
    sendUpstreamRequest(url, body, (upstreamResponse) =>
      relayCoalesced(upstreamResponse, res),
    ),
};

/** Starts a baseline relay that uses the engines in round-robin order. */
export async function startRelay(
  kind: RelayKind,
  engineUrls: readonly string[],
): Promise<Relay> {
  const control = { count: 0 };
  const server = createServer((req, res) => {
    const chunks: Buffer[] = [];
    req.on("data", (chunk: Buffer) => chunks.push(chunk));
    req.on("end", () => {
      control.count += 1;
      const url = engineUrls[control.count % engineUrls.length] ?? "";
      RELAY_FUNCTIONS[kind](url, Buffer.concat(chunks), res);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as { port: number };
  return {
    url: `http://127.0.0.1:${port}`,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

const AGENT = new Agent({ keepAlive: true });

function sendUpstreamRequest(
  url: string,
  body: Buffer,
  onResponse: (upstreamResponse: IncomingMessage) => void,
): void {
  const headers = { "content-length": String(body.length) };
  const req = request(`${url}${PATH}`, {
    method: "POST",
    headers,
    agent: AGENT,
  });
  req.on("response", onResponse);
  req.on("error", () => undefined);
  req.end(body);
}

async function relayByGot(
  url: string,
  body: Buffer,
  res: ServerResponse,
): Promise<void> {
  const stream = got.stream.post(`${url}${PATH}`, {
    body,
    retry: { limit: 0 },
    decompress: false,
  });
  stream.on("error", () => res.destroy());
  res.writeHead(200, { "content-type": "text/event-stream" });
  for await (const chunk of stream as AsyncIterable<Buffer>) {
    res.write(chunk);
  }
  res.end();
}

function relayCoalesced(
  upstreamResponse: IncomingMessage,
  res: ServerResponse,
): void {
  const buffered: Buffer[] = [];
  const control = { timer: undefined as NodeJS.Timeout | undefined };
  const writeBuffered = (): void => {
    control.timer = undefined;
    res.write(Buffer.concat(buffered.splice(0)));
  };
  res.writeHead(200, { "content-type": "text/event-stream" });
  upstreamResponse.on("data", (chunk: Buffer) => {
    buffered.push(chunk);
    control.timer ??= setTimeout(writeBuffered, COALESCE_MS);
  });
  upstreamResponse.on("end", () => {
    clearTimeout(control.timer);
    res.end(Buffer.concat(buffered));
  });
}
