import { CALL_SHAPES, type CallShape } from "@gooseberryline/core";
import { ConnectionPool } from "@gooseberryline/daemon";
import { expect, test } from "vitest";
import { runRequest } from "../testing/run_request.ts";
import { startRawUpstream } from "../testing/start_raw_upstream.ts";

const BODY = "id: 1\ndata: text1\n\n";
const TYPE = "Content-Type: text/event-stream\r\n";
const KEPT = `HTTP/1.1 200 OK\r\n${TYPE}Content-Length: ${BODY.length}\r\n\r\n`;
const HEADS = {
  length: KEPT,
  "length, closing": KEPT.replace(TYPE, `${TYPE}Connection: close\r\n`),
  chunks: `HTTP/1.1 200 OK\r\n${TYPE}Transfer-Encoding: chunked\r\n\r\n`,
  "neither length nor chunks": `HTTP/1.1 200 OK\r\n${TYPE}\r\n`,
};

type Cut = {
  readonly head: string;
  readonly shape: CallShape;
  readonly lastEventId?: number;
  /** Whether a whole answer came first on the connection. */
  readonly isLater: boolean;
};

/** Cuts the answer's head at each byte; returns the answers that callers got. */
async function runEachCut({ head, shape, lastEventId, isLater }: Cut) {
  const cuts = Array.from({ length: head.length }, (_, bytes) => bytes);
  const route = { shape, maxAttempts: 1, isIdempotent: true };
  return Promise.all(
    cuts.map(async (bytes) => {
      const counts = { answers: 0 };
      const upstream = await startRawUpstream((socket) => {
        counts.answers += 1;
        if (isLater && counts.answers === 1) {
          socket.write(KEPT + BODY);
        } else {
          socket.end(head.slice(0, bytes));
        }
      });
      const pool = new ConnectionPool(1_000);
      const addresses = [upstream.address];
      const run = { addresses, pool, route, lastEventId };
      if (isLater) {
        await runRequest({ ...run, lastEventId: undefined }).ended;
      }
      const { answer, ended } = runRequest(run);
      await ended;
      pool.stop();
      await upstream.close();
      return answer;
    }),
  );
}

const CASES = Object.entries(HEADS).flatMap(([name, head]) =>
  [true, false].flatMap((isLater) => [
    { name, head, isLater, shape: CALL_SHAPES.plain },
    { name, head, isLater, shape: CALL_SHAPES.stream },
    { name, head, isLater, shape: CALL_SHAPES.stream, lastEventId: 1 },
  ]),
);

test.each(CASES)(
  "an answer cut in its head is an error to callers: $name, $shape, later $isLater, after event $lastEventId",
  async (cut) => {
    const answers = await runEachCut(cut);
    expect(answers.map(({ status }) => status)).toEqual(answers.map(() => 502));
    expect(answers.map(({ run }) => run)).toEqual(
      answers.map(() => "may have run"),
    );
  },
);
