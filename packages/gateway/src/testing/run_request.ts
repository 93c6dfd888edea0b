import { CALL_SHAPES, type Route } from "@gooseberryline/core";
import { ConnectionPool } from "@gooseberryline/daemon";
import { RequestKey } from "../crashes/request_key.ts";
import type { CallDialect } from "../dialect/types.ts";
import { HeldBytes } from "../exchange/held_bytes.ts";
import type { FleetView } from "../fleet/fleet_view.ts";
import { RequestRun } from "../requests/request_run.ts";
import type { CallReply } from "../requests/types.ts";
import type { StreamOrigins } from "../streams/stream_origins.ts";
import type { TurnParts } from "../waiting/request_turn.ts";
import { createView } from "./create_view.ts";
import { plainDialect } from "./plain_dialect.ts";
import { SILENT_LOG } from "./silent_log.ts";

/** The answer that the caller of a test received. */
export type TestAnswer = {
  status: number | undefined;
  headers: readonly string[];
  body: string;
  end: "open" | "whole" | "broken-off" | "fault";
  run: string | undefined;
};

type RunParts = {
  /** Addresses of the upstreams, in the order in which they are tried. */
  readonly addresses: readonly string[];
  /** Versions of the upstreams, none by default. */
  readonly versions?: readonly string[];
  readonly route?: Partial<Route>;
  readonly lastEventId?: number | undefined;
  /** Id of the request that brought the stream's first event. */
  readonly resumes?: string;
  /** Knows what began streams; by default the version is the upstreams'. */
  readonly origins?: Pick<StreamOrigins, "find" | "recordBegun">;
  /** Ids of the prompt's parts that other requests may share. */
  readonly promptParts?: readonly string[];
  /** Prefix of the upstreams' ids, which end with their index. */
  readonly idPrefix?: string;
  /** The request's body. */
  readonly body?: string;
  readonly requestId?: string;
  /** The connections to upstreams; by default they end with the request. */
  readonly pool?: ConnectionPool;
  /** The view of the instance; a new one by default. */
  readonly view?: FleetView;
  /** Where the answer goes; by default it is kept for the test. */
  readonly reply?: CallReply;
  /** Counts what is held of answers. */
  readonly held?: HeldBytes;
  readonly dialect?: CallDialect;
  /** Where requests wait for room; by default they don't. */
  readonly turns?: TurnParts | undefined;
};

/** A request of a test: its answer, and a way to cancel it. */
export type TestRun = {
  readonly answer: TestAnswer;
  readonly view: FleetView;
  /** Resolves with the request's outcome. */
  readonly ended: Promise<string>;
  readonly cancel: () => void;
  /** Ends it as a stop of the instance does. */
  readonly expire: () => void;
};

const SERVICE = "service";
const ROUTE: Route = {
  name: "route",
  host: "host",
  prefix: "/",
  shape: CALL_SHAPES.stream,
  isIdempotent: true,
  isResumable: true,
  isPublic: true,
  targets: [{ service: SERVICE, weight: 1 }],
  maxAttempts: 2,
  timeoutMs: 3_000,
  objectiveMs: 300,
  priority: 0,
  dueMs: 0,
  retentionMs: 0,
  maxBacklogTokens: 0,
};

const ONE_VERSION: Pick<StreamOrigins, "find" | "recordBegun"> = {
  find: async () => ({ service: SERVICE, version: "" }),
  recordBegun: () => () => undefined,
};

/** Runs one request against the given upstreams. */
export function runRequest({
  addresses,
  versions = [],
  route,
  lastEventId,
  resumes,
  origins = ONE_VERSION,
  promptParts = [],
  idPrefix = "u",
  body = "prompt",
  requestId = "r1",
  pool: givenPool,
  view = createView(),
  reply,
  held = new HeldBytes(),
  dialect = plainDialect,
  turns,
}: RunParts): TestRun {
  addresses.forEach((address, index) => {
    view.directory.set({
      id: `${idPrefix}${index}`,
      service: SERVICE,
      address,
      // The first upstream is in the own data centre, so it is tried first.
      dataCentre: index === 0 ? "a" : `b${index}`,
      slots: 8,
      isDraining: false,
      coldUntilMs: 0,
      version: versions[index],
    });
  });
  const answer: TestAnswer = {
    status: undefined,
    headers: [],
    body: "",
    end: "open",
    run: undefined,
  };
  const content = {
    method: "POST",
    path: "/x",
    customer: "",
    body: Buffer.from(body),
  };
  const call = {
    ...content,
    key: new RequestKey(content),
    head: {
      ...plainDialect.parseCallHead({}),
      requestId,
      lastEventId,
      resumes,
      promptParts,
    },
    route: { ...ROUTE, ...route },
    service: SERVICE,
    customer: undefined,
    headers: {},
    receivedMs: view.readNowMs(),
  };
  const pool = givenPool ?? new ConnectionPool(1_000);
  let onEnded: (outcome: string) => void = () => undefined;
  const ended = new Promise<string>((resolve) => {
    onEnded = resolve;
  });
  const run = new RequestRun(call, reply ?? buildTestReply(answer), {
    view,
    pool,
    origins,
    held,
    dialect,
    turns,
    log: SILENT_LOG,
    onDone: (outcome) => {
      if (givenPool === undefined) {
        pool.stop();
      }
      onEnded(outcome);
    },
  });
  run.start();
  const expire = () => run.expire("stopping");
  return { answer, view, ended, cancel: () => run.cancel(), expire };
}

function buildTestReply(answer: TestAnswer): CallReply {
  return {
    isConnected: () => true,
    sendError: ({ status, run }) => {
      Object.assign(answer, { status, run, end: "fault" });
    },
    sendResponse: ({ status, rawHeaders }, body) => {
      const headers = rawHeaders;
      Object.assign(answer, { status, headers, end: "whole" });
      answer.body = body.toString();
    },
    onWritten: (callback) => callback(),
    startStream: ({ status, rawHeaders }) => {
      Object.assign(answer, { status, headers: rawHeaders });
    },
    writeStream: (bytes) => {
      answer.body += bytes.toString();
      return true;
    },
    finishStream: () => {
      answer.end = "whole";
    },
    closeConnection: () => {
      answer.end = "broken-off";
    },
  };
}
