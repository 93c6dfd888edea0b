import { got, RequestError } from "got";
import { AdminError } from "./admin_error.ts";
import { EXIT_CODES } from "./exit_codes.ts";

const TIMEOUT_MS = 15_000;
const FIRST_FINAL_STATUS = 200;
const FIRST_REFUSAL_STATUS = 400;
const FIRST_SERVER_STATUS = 500;

type AdminRequest = {
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  readonly path: string;
  readonly json?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
};

type ErrorBody = {
  readonly error?: Readonly<Record<string, unknown>> & {
    readonly message?: string;
  };
};

/** A client of an instance's administration API. */
export class AdminClient {
  readonly #url: string;
  readonly #token: string;

  constructor(url: string, token: string) {
    this.#url = url.replace(/\/$/, "");
    this.#token = token;
  }

  get<Body>(path: string): Promise<Body> {
    return this.call<Body>({ method: "GET", path });
  }

  async call<Body>({
    method,
    path,
    json,
    headers,
  }: AdminRequest): Promise<Body> {
    const { statusCode, body } = await got(`${this.#url}/admin/v1/${path}`, {
      method,
      headers: { ...headers, authorization: `Bearer ${this.#token}` },
      ...(json === undefined ? {} : { json }),
      responseType: "json",
      throwHttpErrors: false,
      retry: { limit: 0 },
      timeout: { request: TIMEOUT_MS },
    }).catch((error: unknown) => {
      throw this.#describeFailure(error);
    });
    const isFinal = statusCode >= FIRST_FINAL_STATUS;
    if (isFinal && statusCode < FIRST_REFUSAL_STATUS) {
      return body as Body;
    }
    const { error = {} } = body as ErrorBody;
    const exitCode =
      isFinal && statusCode < FIRST_SERVER_STATUS
        ? EXIT_CODES.REFUSED
        : EXIT_CODES.UNREACHABLE;
    const message = error.message ?? `status ${statusCode}`;
    throw new AdminError(message, exitCode, { ...error });
  }

  #describeFailure(error: unknown): AdminError {
    const detail = error instanceof RequestError ? error.message : "no answer";
    const message = `${this.#url} could not be reached: ${detail}`;
    return new AdminError(message, EXIT_CODES.UNREACHABLE);
  }
}
