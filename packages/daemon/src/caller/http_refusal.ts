import type { FaultStep, Refusal, RunCertainty } from "@gooseberryline/core";
import type { RefusalBody } from "./types.ts";

const MS_PER_SECOND = 1000;

const STATUS_OF_CODE: Readonly<Record<string, number>> = {
  rate_limited: 429,
  deadline_exceeded: 504,
  no_capacity: 503,
  upstream_error: 503,
  upstream_unreachable: 503,
  upstream_silent: 504,
  answer_mismatch: 503,
  answer_cut_off: 503,
  key_withdrawn: 401,
  stopping: 503,
  store_unavailable: 503,
  unknown_service: 404,
  key_used: 409,
};

const TYPE_OF_STATUS: Readonly<Record<number, string>> = {
  400: "invalid_request_error",
  401: "authentication_error",
  403: "permission_error",
  404: "not_found_error",
  409: "conflict_error",
  413: "invalid_request_error",
  429: "rate_limit_error",
};

type RefusalFields = {
  readonly code: string;
  readonly step?: FaultStep;
  readonly peer?: string;
  readonly run?: RunCertainty;
  readonly retryAfterMs?: number | undefined;
};

/** An error response of the caller API, with its status, headers and body. */
export class HttpRefusal extends Error {
  readonly status: number;
  readonly body: RefusalBody;

  constructor(status: number, message: string, fields: RefusalFields) {
    super(message);
    this.status = status;
    this.body = {
      error: {
        type: TYPE_OF_STATUS[status] ?? "server_error",
        code: fields.code,
        message,
        run: fields.run ?? "not run",
        step: fields.step ?? "check",
        peer: fields.peer ?? "caller",
        retry_after_ms: fields.retryAfterMs ?? null,
      },
    };
  }

  /** Converts a refusal of the core to an HTTP refusal. */
  static from({ fault, run, retryAfterMs }: Refusal): HttpRefusal {
    const { code, step, peer, message } = fault;
    const status = STATUS_OF_CODE[code] ?? 503;
    return new HttpRefusal(status, message, {
      code,
      step,
      peer,
      run,
      retryAfterMs,
    });
  }

  get headers(): Readonly<Record<string, string>> {
    const retryAfterMs = this.body.error.retry_after_ms;
    return retryAfterMs === null
      ? {}
      : { "retry-after": String(Math.ceil(retryAfterMs / MS_PER_SECOND)) };
  }
}
