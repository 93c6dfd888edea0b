import { createServer, type Server, type Socket } from "node:net";

const TOKEN_EVENT = JSON.stringify({
  id: "chatcmpl-0123456789abcdef",
  object: "chat.completion.chunk",
  created: 1_700_000_000,
  model: "demo-model",
  choices: [{ index: 0, delta: { content: " word" }, finish_reason: null }],
});
const TOKEN_CHUNK = buildChunk(`data: ${TOKEN_EVENT}\n\n`);
const END_CHUNKS = Buffer.concat([
  buildChunk("data: [DONE]\n\n"),
  Buffer.from("0\r\n\r\n"),
]);
const RESPONSE_HEAD = [
  "HTTP/1.1 200 OK",
  "content-type: text/event-stream",
  "transfer-encoding: chunked",
].join("\r\n");

/**
 * A low-overhead engine: its chunks are built in advance, and each token is a
 * separate write, as in an engine that streams token by token.
 */
export class TokenEngine {
  readonly #server: Server;
  readonly #streams = new Map<string, Socket>();

  constructor() {
    this.#server = createServer((socket) => {
      socket.setNoDelay(true);
      socket.on("error", () => undefined);
      const received = { text: "" };
      socket.on("data", (data) => {
        received.text += data.toString("latin1");
        if (received.text.includes("\r\n\r\n") && received.text.endsWith("}")) {
          this.#open(socket, received.text);
          received.text = "";
        }
      });
    });
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = this.#server.address() as { port: number };
    return `http://127.0.0.1:${port}`;
  }

  /** Writes one token to a stream; returns false for an unknown stream. */
  sendToken(streamId: string): boolean {
    return this.#streams.get(streamId)?.write(TOKEN_CHUNK) !== undefined;
  }

  finish(streamId: string): void {
    this.#streams.get(streamId)?.write(END_CHUNKS);
    this.#streams.delete(streamId);
  }

  close(): void {
    this.#server.close();
  }

  #open(socket: Socket, request: string): void {
    const attemptId = /^x-request-id: (.*)\r$/im.exec(request)?.[1] ?? "none";
    const streamId = /"user":"([^"]*)"/.exec(request)?.[1] ?? "";
    socket.write(`${RESPONSE_HEAD}\r\nx-request-id: ${attemptId}\r\n\r\n`);
    socket.write(TOKEN_CHUNK);
    this.#streams.set(streamId, socket);
    if (request.includes('"max_tokens":1}')) {
      this.finish(streamId);
    }
  }
}

function buildChunk(text: string): Buffer {
  const size = Buffer.byteLength(text).toString(16);
  return Buffer.from(`${size}\r\n${text}\r\n`);
}
