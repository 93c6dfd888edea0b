import type {
  AttemptId,
  AttemptOutcome,
  Fault,
  FaultCode,
  FaultStep,
  InstanceEvent,
} from "@gooseberryline/core";
import { got, type Request, type Response } from "got";
import { AnswerMarks } from "./answer_marks.ts";
import type { AnswerHead, AttemptOrder } from "./types.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const HOP_BY_HOP = [
  "connection",
  "keep-alive",
  "transfer-encoding",
  "upgrade",
  "proxy-authenticate",
  "trailer",
  "set-cookie",
];

/** Makes attempts: owns the connections to upstreams. */
export class AttemptTask {
  readonly #post: (event: InstanceEvent) => void;
  readonly #running = new Map<AttemptId, Request>();

  constructor(post: (event: InstanceEvent) => void) {
    this.#post = post;
  }

  start(order: AttemptOrder): void {
    const { attemptId } = order;
    this.#run(order)
      .catch((error: unknown) => describeFailure(order, error, false))
      .then((outcome) => {
        const isOurs = this.#running.delete(attemptId);
        if (isOurs) {
          this.#post({ kind: "attempt-ended", attemptId, outcome });
        }
      });
  }

  /** Ends an attempt; its connection is closed, nothing more is told. */
  cancel(attemptId: AttemptId): void {
    const request = this.#running.get(attemptId);
    this.#running.delete(attemptId);
    request?.destroy();
  }

  async #run(order: AttemptOrder): Promise<AttemptOutcome> {
    const { call, attemptId, upstreamUrl } = order;
    const request = got.stream(`${upstreamUrl}${call.path}`, {
      method: call.method as "POST",
      headers: { ...call.headers, "x-request-id": attemptId },
      body: call.body,
      throwHttpErrors: false,
      decompress: false,
      retry: { limit: 0 },
      timeout: { connect: CONNECT_TIMEOUT_MS },
    });
    this.#running.set(attemptId, request);
    const response = await waitForResponse(request);
    return this.#relay(order, request, response);
  }

  async #relay(
    order: AttemptOrder,
    request: Request,
    response: Response,
  ): Promise<AttemptOutcome> {
    const { attemptId, sink } = order;
    const echoed = response.headers["x-request-id"];
    if (echoed !== undefined && echoed !== attemptId) {
      request.destroy();
      return fail(order, "answer_mismatch", "another request's answer");
    }
    if (response.statusCode >= 500) {
      request.destroy();
      const message = `upstream answered ${response.statusCode}`;
      return response.headers["x-run"] === "not run"
        ? {
            kind: "not-started",
            fault: describeFault(order, "upstream_error", "answer", message),
          }
        : fail(order, "upstream_error", message);
    }
    const marks = new AnswerMarks(response);
    const progress = { isRelayed: false };
    try {
      for await (const chunk of request as AsyncIterable<Buffer>) {
        if (!this.#running.has(attemptId)) {
          return { kind: "cancelled" };
        }
        if (!progress.isRelayed) {
          progress.isRelayed = true;
          this.#post({ kind: "attempt-first-token", attemptId });
          sink.writeHead(describeHead(response));
        }
        marks.note(chunk);
        if (!sink.write(chunk)) {
          await sink.waitForRoom();
        }
      }
    } catch (error) {
      return describeFailure(order, error, progress.isRelayed);
    }
    if (!marks.isWhole()) {
      return {
        kind: "failed",
        fault: describeFault(
          order,
          "answer_cut_off",
          "answer",
          "the answer was cut off",
        ),
        isRelayed: progress.isRelayed,
      };
    }
    if (!progress.isRelayed) {
      sink.writeHead(describeHead(response));
    }
    return {
      kind: "completed",
      status: response.statusCode,
      tokens: marks.countTokens(),
    };
  }
}

function waitForResponse(request: Request): Promise<Response> {
  return new Promise((resolve, reject) => {
    request.once("response", resolve);
    request.once("error", reject);
    request.once("close", () => reject(new Error("connection closed")));
  });
}

function describeHead(response: Response): AnswerHead {
  const headers = Object.fromEntries(
    Object.entries(response.headers)
      .filter(([name]) => !HOP_BY_HOP.includes(name))
      .map(([name, value]) => [name, String(value)]),
  );
  return { status: response.statusCode, headers };
}

function describeFailure(
  order: AttemptOrder,
  error: unknown,
  isRelayed: boolean,
): AttemptOutcome {
  const code = (error as { code?: string }).code ?? "";
  const isUnsent = code === "ECONNREFUSED" || code === "EHOSTUNREACH";
  const message = error instanceof Error ? error.message : String(error);
  return isUnsent
    ? {
        kind: "not-started",
        fault: describeFault(order, "upstream_unreachable", "connect", message),
      }
    : {
        kind: "failed",
        fault: describeFault(order, "upstream_error", "answer", message),
        isRelayed,
      };
}

function fail(
  order: AttemptOrder,
  code: FaultCode,
  message: string,
): AttemptOutcome {
  return {
    kind: "failed",
    fault: describeFault(order, code, "answer", message),
    isRelayed: false,
  };
}

function describeFault(
  order: AttemptOrder,
  code: FaultCode,
  step: FaultStep,
  message: string,
): Fault {
  return { code, step, peer: order.upstreamId, message };
}
