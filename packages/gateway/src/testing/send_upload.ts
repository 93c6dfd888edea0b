import { connect } from "node:net";
import { setTimeout as wait } from "node:timers/promises";

/** How a caller sends the body of a request. */
export type UploadForm =
  | "length"
  | "chunks"
  | "expecting"
  | "slow"
  | "http/1.0";

/** What a caller got. */
type Heard = {
  readonly text: string;
  /** Whether the connection ended in order. */
  readonly isOrderly: boolean;
};

const PIECES = 16;
const SLOW_MS = 10;

/** Sends a long body to a path and collects all bytes of the answer. */
export function sendUpload(
  port: number,
  path: string,
  form: UploadForm,
  body: Buffer,
): Promise<Heard> {
  const isChunked = form === "chunks";
  const version = form === "http/1.0" ? "1.0" : "1.1";
  const head = [
    `POST ${path} HTTP/${version}`,
    "Host: h",
    "Connection: close",
    isChunked ? "Transfer-Encoding: chunked" : `Content-Length: ${body.length}`,
    ...(form === "expecting" ? ["Expect: 100-continue"] : []),
  ];
  return new Promise((resolve) => {
    const socket = connect({ port, host: "127.0.0.1" });
    const state = { text: "", isBroken: false };
    socket.on("data", (bytes) => {
      state.text += bytes.toString("latin1");
    });
    socket.on("error", () => {
      state.isBroken = true;
    });
    socket.once("close", () =>
      resolve({ text: state.text, isOrderly: !state.isBroken }),
    );
    const size = Math.ceil(body.length / PIECES);
    const sendPieces = async (index: number): Promise<void> => {
      if (index === PIECES || !socket.writable) {
        return;
      }
      const piece = body.subarray(index * size, (index + 1) * size);
      socket.write(
        isChunked
          ? Buffer.concat([
              Buffer.from(`${piece.length.toString(16)}\r\n`),
              piece,
              Buffer.from("\r\n"),
            ])
          : piece,
      );
      if (form === "slow") {
        await wait(SLOW_MS);
      }
      await sendPieces(index + 1);
    };
    const send = async (): Promise<void> => {
      await sendPieces(0);
      if (isChunked) {
        socket.write("0\r\n\r\n");
      }
    };
    socket.write(`${head.join("\r\n")}\r\n\r\n`);
    if (form === "expecting") {
      socket.once("data", () => void send());
    } else {
      void send();
    }
  });
}
