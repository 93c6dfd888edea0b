import type { AnswerFraming, BodyEnd } from "./types.ts";

const STATUSES_WITHOUT_BODY: readonly number[] = [204, 304];
const CHUNKED = "chunked";
/** Values that name no coding. */
const NO_CODING: readonly string[] = ["", "identity"];

/** Finds how the body of an answer ends, by its head. */
export function findBodyEnd({
  method,
  status,
  contentLength,
  transferEncoding,
}: AnswerFraming): BodyEnd {
  if (method === "HEAD" || STATUSES_WITHOUT_BODY.includes(status)) {
    return "none";
  }
  const codings = listCodings(transferEncoding ?? "");
  const others = codings.slice(0, -1);
  if (others.some(isCoding)) {
    return "unreadable";
  }
  if (codings.at(-1) === CHUNKED) {
    return "chunks";
  }
  if (codings.some(isCoding)) {
    return "unreadable";
  }
  return contentLength === undefined ? "connection" : "length";
}

function listCodings(value: string): string[] {
  return value.split(",").map((coding) => coding.trim().toLowerCase());
}

function isCoding(coding: string): boolean {
  return !NO_CODING.includes(coding);
}
