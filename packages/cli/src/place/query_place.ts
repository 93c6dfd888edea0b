import type { PlaceExplanation } from "@gooseberryline/core";
import { got } from "got";
import { AdminError } from "../client/admin_error.ts";
import { EXIT_CODES } from "../client/exit_codes.ts";

const PATH = "/place";
const TIMEOUT_MS = 2_000;
const OK = 200;
const BAD = 400;

/** Asks an instance where a request or an item would go. */
export async function queryPlace(
  address: string,
  fields: Readonly<Record<string, string>>,
): Promise<PlaceExplanation> {
  const { status, answer } = await request(address, fields);
  if (status === BAD) {
    const reason = String(Reflect.get(Object(answer), "error"));
    throw new AdminError(reason, EXIT_CODES.USAGE);
  }
  if (status !== OK || !isAnswer(answer)) {
    const reason = `${address} answered ${status}, which is no answer to this; it may be an earlier build`;
    throw new AdminError(reason, EXIT_CODES.REFUSED);
  }
  return answer;
}

async function request(
  address: string,
  fields: Readonly<Record<string, string>>,
): Promise<{ readonly status: number; readonly answer: unknown }> {
  try {
    const { statusCode, body } = await got(`http://${address}${PATH}`, {
      searchParams: fields,
      retry: { limit: 0 },
      throwHttpErrors: false,
      timeout: { request: TIMEOUT_MS },
    });
    return { status: statusCode, answer: decode(body) };
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    const message = `no answer from ${address}: ${reason}`;
    throw new AdminError(message, EXIT_CODES.UNREACHABLE);
  }
}

function decode(body: string): unknown {
  try {
    return JSON.parse(body);
  } catch {
    return undefined;
  }
}

function isAnswer(answer: unknown): answer is PlaceExplanation {
  const { outcome, candidates } = Object(answer);
  return typeof outcome?.kind === "string" && Array.isArray(candidates);
}
