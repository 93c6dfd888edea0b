import type { IncomingMessage, ServerResponse } from "node:http";
import { CALL_SHAPES } from "@gooseberryline/core";
import { ConnectionPool } from "@gooseberryline/daemon";
import { expect, test } from "vitest";
import { RequestKey } from "../crashes/request_key.ts";
import { JOB_ROUTE } from "../testing/job_route.ts";
import { plainDialect } from "../testing/plain_dialect.ts";
import { startUpstream } from "../testing/start_upstream.ts";
import { PASSING } from "./constants.ts";
import { PassAttempt } from "./pass_attempt.ts";
import { passError } from "./pass_error.ts";

const NOT_RUN = {
  status: 503,
  code: "no_room",
  message: "every upstream is full: ü",
  run: "not run",
} as const;

type Answer = (req: IncomingMessage, res: ServerResponse) => void;

/** Passes a request on to a peer that answers so; returns how that ended. */
async function relayTo(answer: Answer): Promise<string> {
  const peer = await startUpstream(answer);
  const pool = new ConnectionPool(1_000);
  const { port } = new URL(`http://${peer.address}`);
  const member = {
    id: "p1",
    incarnation: "1",
    address: "127.0.0.1",
    port: 0,
    relayPort: Number(port),
    dataCentre: "a",
    duty: "serve",
  } as const;
  const content = {
    method: "POST",
    path: "/x",
    customer: "",
    body: Buffer.from("prompt"),
  };
  const call = {
    ...content,
    key: new RequestKey(content),
    head: plainDialect.parseCallHead({}),
    route: { ...JOB_ROUTE, shape: CALL_SHAPES.plain },
    service: "s",
    customer: undefined,
    headers: {},
    receivedMs: 0,
  };
  const work = {
    peer: member,
    passId: "own",
    spentMs: 0,
    leftMs: 1_000,
    runs: 0,
    lastEventId: undefined,
    origin: undefined,
  };
  const end = await new Promise<string>((resolve) => {
    new PassAttempt(
      call,
      work,
      { pool, dialect: plainDialect },
      {
        onHead: () => undefined,
        onChunk: () => true,
        onEnd: ({ kind }) => resolve(kind),
        onRefused: ({ status, run }) => resolve(`${status} ${run}`),
        onUnable: () => undefined,
        onReleased: () => undefined,
      },
    );
  });
  pool.stop();
  await peer.close();
  return end;
}

function answerError(error: string): Answer {
  return (_, res) => {
    res
      .writeHead(503, {
        [PASSING.ID_HEADER]: "own",
        [PASSING.ERROR_HEADER]: error,
      })
      .end();
  };
}

test("a peer that did not run a request leaves it to others", async () => {
  expect(await relayTo(answerError(passError.encode(NOT_RUN)))).toBe("unsent");
});

test("a peer's error that may have run is the caller's answer", async () => {
  const error = { ...NOT_RUN, status: 504, run: "may have run" } as const;
  const end = await relayTo(answerError(passError.encode(error)));
  expect(end).toBe("504 may have run");
});

test.each(["%", "{}", "null"])(
  "an error that can't be read (%s) says nothing of whether it has run",
  async (error) => {
    expect(await relayTo(answerError(error))).toBe("lost");
  },
);

test.each([undefined, "another"])(
  "an answer that is not to this request is not its answer (%s)",
  async (id) => {
    const headers = id === undefined ? {} : { [PASSING.ID_HEADER]: id };
    const answer: Answer = (_, res) => res.writeHead(200, headers).end("text");
    expect(await relayTo(answer)).toBe("lost");
  },
);

test("an answer to this request is whole", async () => {
  const headers = { [PASSING.ID_HEADER]: "own" };
  expect(await relayTo((_, res) => res.writeHead(200, headers).end("t"))).toBe(
    "whole",
  );
});

// Guards against a broken answer of a peer that is taken for an upstream's.
test.each([
  "HTTP/1.1 000 OK\r\nContent-Length: 4",
  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX Odd: v",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked",
])("a peer's answer that begins with %j is no answer", async (head) => {
  const id = `${PASSING.ID_HEADER}: own`;
  const answer: Answer = (_, res) => {
    res.socket?.end(`${head}\r\n${id}\r\n\r\ntext`);
  };
  expect(await relayTo(answer)).toBe("lost");
});
