import { STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";

type Refused = {
  readonly status: number;
  readonly code: string;
  readonly message: string;
};

const BROKEN: Refused = {
  status: 400,
  code: "broken_request",
  message: "the request is not valid HTTP",
};

const BY_ERROR_CODE: Readonly<Record<string, Refused>> = {
  ERR_HTTP_REQUEST_TIMEOUT: {
    status: 408,
    code: "request_timeout",
    message: "the request did not arrive in time",
  },
  HPE_HEADER_OVERFLOW: {
    status: 431,
    code: "headers_too_large",
    message: "the headers are too large",
  },
};

/**
 * Refuses what the HTTP parser can't accept, among it two lengths and stray
 * line ends, and closes the connection: what follows on it means nothing.
 */
export function refuseBrokenRequest(error: Error, socket: Duplex): void {
  const { code: errorCode = "" } = error as { code?: string };
  const hasBegunAnswer =
    "_httpMessage" in socket && socket._httpMessage !== null;
  if (!socket.writable || errorCode === "ECONNRESET" || hasBegunAnswer) {
    socket.destroy();
    return;
  }
  const { status, code, message } = BY_ERROR_CODE[errorCode] ?? BROKEN;
  const body = JSON.stringify({
    error: {
      type: "invalid_request_error",
      code,
      message,
      run: "not run",
      step: "parse",
      peer: "caller",
      retry_after_ms: null,
    },
  });
  socket.end(
    [
      `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
      "connection: close",
      "content-type: application/json",
      `content-length: ${Buffer.byteLength(body)}`,
      "",
      body,
    ].join("\r\n"),
  );
}
