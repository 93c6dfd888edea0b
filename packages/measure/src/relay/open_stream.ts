import { connect, type Socket } from "node:net";

const TOKEN_PREFIX = "data: {";
const OK_STATUS_LINE = "HTTP/1.1 200";

type StreamOptions = {
  readonly streamId: string;
  /** Requests a response of one token. */
  readonly isShort: boolean;
  readonly onTokens: (count: number) => void;
  readonly onRefused: (text: string) => void;
};

/** Opens a stream on a new connection and reports the tokens received. */
export function openStream(url: string, options: StreamOptions): Socket {
  const { hostname, port } = new URL(url);
  const socket = connect(Number(port), hostname);
  const control = { hasStarted: false };
  socket.setNoDelay(true);
  socket.on("error", () => undefined);
  socket.on("data", (data) => {
    const text = data.toString("latin1");
    if (!control.hasStarted && !text.startsWith(OK_STATUS_LINE)) {
      options.onRefused(text);
      return;
    }
    control.hasStarted = true;
    const count = text.split(TOKEN_PREFIX).length - 1;
    if (count > 0) {
      options.onTokens(count);
    }
  });
  socket.write(buildRequest(options));
  return socket;
}

function buildRequest({ streamId, isShort }: StreamOptions): string {
  const body = JSON.stringify({
    model: "demo-model",
    stream: true,
    messages: [{ role: "user", content: "Is hide glue in stock?" }],
    user: streamId,
    max_tokens: isShort ? 1 : 1_000,
  });
  return [
    "POST /v1/chat/completions HTTP/1.1",
    "host: 127.0.0.1",
    "authorization: Bearer demo-key",
    "content-type: application/json",
    `content-length: ${body.length}`,
    "",
    body,
  ].join("\r\n");
}
