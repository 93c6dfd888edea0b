import type { Socket } from "node:net";
import { ConnectionPool } from "@gooseberryline/daemon";
import fc from "fast-check";
import { expect, test } from "vitest";
import type { CallDialect } from "../dialect/types.ts";
import { plainDialect } from "../testing/plain_dialect.ts";
import { sendExchange } from "../testing/send_exchange.ts";
import { startRawUpstream } from "../testing/start_raw_upstream.ts";
import { LastConnection } from "./last_connection.ts";
import type { ExchangeEnd } from "./types.ts";

const KINDS = {
  success: "HTTP/1.1 200 OK\r\n",
  cut: "HTTP/1.1 200 OK\r\nPart: 1\r\n",
  error: "HTTP/1.1 500 Error\r\n",
  unprocessable: "HTTP/1.1 422 No\r\n",
  timeout: "HTTP/1.1 504 Late\r\n",
  refusal: "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n",
} as const;

type Kind = keyof typeof KINDS;

const SUCCESSES: readonly Kind[] = ["success", "cut"];

/** One run of a request, and what its upstream does. */
type Run = {
  readonly id: string;
  readonly kind: Kind;
  /** Which earlier answer of its connection comes first once more, if any. */
  readonly copy: number | undefined;
};

type Sent = { readonly run: Run; readonly text: string };

type Played = {
  readonly run: Run;
  readonly end: ExchangeEnd;
  /** The run that the head which was heard belongs to. */
  readonly heard: number | undefined;
  /** Whether it could be taken for a copy, or came after one. */
  readonly isDoubtful: boolean;
};

function buildAnswer({ id, kind }: Run, index: number): string {
  const head = `${KINDS[kind]}Request-Id: ${id}\r\nRun: ${index}\r\n`;
  const body = "body";
  return kind === "cut"
    ? `${head}Content-Length: 100\r\n\r\n${body}`
    : `${head}Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** Returns whether the true answer to a run may be a copy of an earlier one. */
function holdsDoubt(earlier: readonly Sent[], { id, kind }: Run): boolean {
  const kinds = earlier.flatMap(({ run }) => (run.id === id ? [run.kind] : []));
  const isSuccess = SUCCESSES.includes(kind);
  return isSuccess
    ? kinds.some((other) => SUCCESSES.includes(other))
    : kinds.length > 0;
}

/** Sends one run; returns how it ended, and the run whose head came last. */
async function sendRun(
  address: string,
  pool: ConnectionPool,
  requestId: string,
  lastConnection: LastConnection,
): Promise<Pick<Played, "end" | "heard">> {
  let heard: number | undefined;
  const dialect: CallDialect = {
    ...plainDialect,
    readResponseHead: (headers) => {
      heard = Number(headers.run);
      return plainDialect.readResponseHead(headers);
    },
  };
  const parts = { requestId, dialect, lastConnection };
  const end = await sendExchange(address, pool, parts);
  return { end, heard };
}

/**
 * Sends runs one after the other, by one pool to one upstream. `isShared`: the runs of
 * a request know of each other, as they do unless their owner changes.
 */
async function runAll(
  runs: readonly Run[],
  isShared = true,
): Promise<readonly Played[]> {
  const last = new Map<string, LastConnection>();
  const sent = new Map<Socket, Sent[]>();
  const doubtful = new Set<number>();
  const upstream = await startRawUpstream((socket, count) => {
    const run = runs[count - 1];
    if (run === undefined) {
      return;
    }
    const earlier = sent.get(socket) ?? [];
    const own = buildAnswer(run, count - 1);
    const { copy } = run;
    const extra =
      copy === undefined ? undefined : earlier[copy % earlier.length];
    if (extra !== undefined || holdsDoubt(earlier, run)) {
      doubtful.add(count - 1);
    }
    if (extra !== undefined) {
      socket.write(extra.text);
    }
    sent.set(socket, [...earlier, { run, text: own }]);
    setTimeout(
      () => socket.write(own, () => run.kind === "cut" && socket.destroy()),
      extra === undefined ? 0 : 2,
    );
  });
  const pool = new ConnectionPool(1_000);
  const played = await runs.reduce<Promise<readonly Played[]>>(
    async (before, run, index) => {
      const done = await before;
      const known = isShared ? last.get(run.id) : undefined;
      const own = known ?? new LastConnection();
      last.set(run.id, own);
      const result = await sendRun(upstream.address, pool, run.id, own);
      // The connection is idle once the runtime has seen the end.
      await new Promise((resolve) => setImmediate(resolve));
      return [...done, { run, ...result, isDoubtful: doubtful.has(index) }];
    },
    Promise.resolve([]),
  );
  pool.stop();
  await upstream.close();
  return played;
}

const RUN = fc.record({
  id: fc.constantFrom("a", "b", "c"),
  kind: fc.constantFrom(...(Object.keys(KINDS) as Kind[])),
  copy: fc.option(fc.nat({ max: 5 }), { nil: undefined }),
});

/** Kinds of ends of exchanges that rest on an answer. */
const HEARD = ["whole", "unexecuted"];

/** Number of draws; more of them by hand. */
const RUNS = process.env.INTERLEAVINGS ?? "60";

// Guards against an item errored by a second copy of an earlier run's answer.
test("what ends a run is its own answer, whatever copies come before it", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(RUN, { minLength: 2, maxLength: 8 }),
      fc.boolean(),
      async (runs, isShared) => {
        const played = await runAll(runs, isShared);
        played.forEach(({ end, heard, isDoubtful, run }, index) => {
          if (HEARD.includes(end.kind)) {
            expect(heard).toBe(index);
          } else {
            expect(isDoubtful || run.kind === "cut").toBe(true);
          }
        });
      },
    ),
    { seed: 1, numRuns: Number(RUNS) },
  );
}, 600_000);

// Guards against a mend that hears no honest answer to a run of the same request.
test.each(["error", "unprocessable", "timeout", "refusal"] as const)(
  "an upstream that answers each run with the same %s is heard each time",
  async (kind) => {
    const run = { id: "a", kind, copy: undefined };
    const runs = [run, run, run, run, run];
    const played = await runAll(runs);
    expect(played.map(({ heard }) => heard)).toEqual([0, 1, 2, 3, 4]);
    expect(played.every(({ end }) => HEARD.includes(end.kind))).toBe(true);
    const apart = await runAll(runs, false);
    const isHeard = apart.map(({ end }) => HEARD.includes(end.kind));
    expect(isHeard).toEqual([true, false, true, false, true]);
  },
);

test.each(["error", "unprocessable", "timeout", "refusal"] as const)(
  "a success that follows on one connection after %s is heard at once",
  async (kind) => {
    const failed = { id: "a", kind, copy: undefined };
    const played = await runAll([failed, { ...failed, kind: "success" }]);
    expect(played.at(-1)).toMatchObject({ end: { kind: "whole" }, heard: 1 });
  },
);
