import type { ServerResponse } from "node:http";
import type { ExchangeHead } from "../exchange/types.ts";
import { buildReply } from "../http/build_reply.ts";
import type { CallReply } from "../requests/types.ts";
import { PASSING } from "./constants.ts";
import { dropPassHeaders } from "./drop_pass_headers.ts";
import { passError } from "./pass_error.ts";

type PassReplyParts = {
  readonly res: ServerResponse;
  /** Id of the passed-on request; undefined if none was read. */
  readonly passId: string | undefined;
  /** Returns the version that writes the events, while they arrive. */
  readonly readVersion: () => string;
};

/**
 * Builds the reply to a request that a peer passed on. The head of a stream waits
 * for its first event, since only then it is known what began it.
 */
export function buildPassReply({
  res,
  passId,
  readVersion,
}: PassReplyParts): CallReply {
  const reply = buildReply(res);
  const state: { head?: ExchangeHead } = {};
  const addHeaders = (
    head: ExchangeHead,
    headers: readonly string[],
  ): ExchangeHead => ({
    ...head,
    rawHeaders: [
      ...dropPassHeaders(head.rawHeaders),
      PASSING.ID_HEADER,
      passId ?? "",
      ...headers,
    ],
  });
  const startStream = (): void => {
    const { head } = state;
    if (head !== undefined) {
      delete state.head;
      const version = encodeURIComponent(readVersion());
      reply.startStream(addHeaders(head, [PASSING.VERSION_HEADER, version]));
    }
  };
  return {
    ...reply,
    sendError: (error) => {
      if (reply.isConnected()) {
        res.writeHead(error.status, {
          [PASSING.ID_HEADER]: passId ?? "",
          [PASSING.ERROR_HEADER]: passError.encode(error),
        });
        res.end();
      }
    },
    sendResponse: (head, body) =>
      reply.sendResponse(addHeaders(head, []), body),
    startStream: (head) => {
      state.head = head;
    },
    writeStream: (bytes, onDrain) => {
      startStream();
      return reply.writeStream(bytes, onDrain);
    },
    finishStream: () => {
      startStream();
      reply.finishStream();
    },
  };
}
