import type { Socket } from "node:net";
import { AnsweredIds } from "./answered_ids.ts";
import type { EarlierAnswer } from "./types.ts";

/** What each connection has answered; ends with the connection. */
const answers = new WeakMap<Socket, AnsweredIds>();

/** Tells which requests the connections to upstreams have answered. */
export const connectionAnswers = {
  find: (connection: Socket, requestId: string | undefined): EarlierAnswer =>
    requestId === undefined
      ? "none"
      : (answers.get(connection)?.find(requestId) ?? "none"),
  /**
   * Records an answer; returns whether what comes next on the connection can be told
   * from it. If not, the connection has to end.
   */
  record: (
    connection: Socket,
    requestId: string | undefined,
    isSuccess: boolean,
  ): boolean => {
    if (requestId === undefined) {
      return false;
    }
    const known = answers.get(connection) ?? new AnsweredIds();
    answers.set(connection, known);
    return known.add(requestId, isSuccess);
  },
} as const;
