import { expect, test } from "vitest";
import { findBodyEnd } from "./find_body_end.ts";
import type { BodyEnd } from "./types.ts";

const CODINGS: readonly (readonly [string, BodyEnd])[] = [
  ["chunked", "chunks"],
  ["Chunked", "chunks"],
  ["identity, chunked", "chunks"],
  [", chunked", "chunks"],
  ["", "connection"],
  ["identity", "connection"],
  ["IDENTITY, identity", "connection"],
  ["gzip", "unreadable"],
  ["gzip, chunked", "unreadable"],
  ["chunked, chunked", "unreadable"],
  ["chunked, identity", "unreadable"],
  ["chunked,", "unreadable"],
  ["chunked;q=1", "unreadable"],
  ["xchunked", "unreadable"],
];
const FRAMING = {
  method: "POST",
  status: 200,
  contentLength: undefined,
  transferEncoding: undefined,
};

test.each(CODINGS)("a body coded as '%s' ends by: %s", (coding, end) => {
  const framing = { ...FRAMING, transferEncoding: coding };
  expect(findBodyEnd(framing)).toBe(end);
});

test("a body ends by its length or with its connection", () => {
  expect(findBodyEnd({ ...FRAMING, contentLength: "4" })).toBe("length");
  expect(findBodyEnd(FRAMING)).toBe("connection");
});

test.each([
  { method: "HEAD" },
  { status: 204 },
  { status: 304 },
  { method: "HEAD", transferEncoding: "gzip, chunked" },
  { status: 304, contentLength: "4" },
])("there is no body behind %j", (fields) => {
  expect(findBodyEnd({ ...FRAMING, ...fields })).toBe("none");
});
