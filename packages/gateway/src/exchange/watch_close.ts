import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { watchConnectionEnd } from "@gooseberryline/daemon";
import type { AnswerClose, CloseWatch } from "./types.ts";

/** Bytes after a request that its reader passes over. */
const PROBE = "\r\n";
const UNEXPECTED: Promise<AnswerClose> = Promise.resolve("unexpected");

/**
 * Watches how a connection ends that ends an answer; `isCloseDelimited` says whether
 * it may, by the answer's head. The runtime reports a reset that
 * it reads together with the last bytes as an end in order; a write then fails, as it
 * does not after an end in order. An end while bytes of the request are left unsent is
 * in order only if they are taken.
 */
export function watchClose(
  answer: IncomingMessage,
  isCloseDelimited: boolean,
): CloseWatch {
  const { socket } = answer;
  let found: Promise<AnswerClose> | undefined;
  // Before the runtime's own listener, which lets nothing more be written.
  watchConnectionEnd(answer, () => {
    found = isCloseDelimited ? queryEnd(socket) : UNEXPECTED;
  });
  return () => found;
}

function queryEnd(socket: Socket): Promise<AnswerClose> {
  const hasUnsent = socket.writableLength > 0;
  return new Promise((resolve) => {
    socket.write(PROBE, (error?: NodeJS.ErrnoException | null) => {
      const hasFailed = error !== undefined && error !== null;
      const isReset = hasFailed && (hasUnsent || error.code === "ECONNRESET");
      resolve(isReset ? "reset" : "in-order");
    });
  });
}
