import { STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";

type RequestRefusal = {
  readonly status: number;
  readonly code: string;
  readonly message: string;
};

const MALFORMED: RequestRefusal = {
  status: 400,
  code: "broken_request",
  message: "the request is not valid HTTP",
};

const BY_ERROR_CODE: Readonly<Record<string, RequestRefusal>> = {
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
 * Refuses requests that do not arrive in time or that the HTTP parser rejects,
 * such as those with two content lengths or stray line ends, and closes the
 * connection, since the bytes that follow can't be interpreted.
 */
export function refuseMalformedRequest(error: Error, socket: Duplex): void {
  const { code: errorCode = "" } = error as { code?: string };
  const hasStartedAnswer =
    "_httpMessage" in socket && socket._httpMessage !== null;
  if (!socket.writable || errorCode === "ECONNRESET" || hasStartedAnswer) {
    socket.destroy();
    return;
  }
  const { status, code, message } = BY_ERROR_CODE[errorCode] ?? MALFORMED;
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
