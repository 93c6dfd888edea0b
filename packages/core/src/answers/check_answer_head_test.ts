import fc from "fast-check";
import { expect, test } from "vitest";
import { checkAnswerHead } from "./check_answer_head.ts";

const STATUS_LINE = "HTTP/1.1 200 OK";
const TOKEN_CHARACTER = /^[!#$%&'*+.^_`|~0-9A-Za-z-]$/;
/** Characters of a line that nearly fills what the parser takes for a head. */
const LONG_LINE = 15_800;
/** Much less than a pause that callers notice, in ms. */
const MAX_CHECK_MS = 50;
const RUNS = { seed: 1, numRuns: 2_000 };

function check(lines: readonly string[], rest = "") {
  const head = [STATUS_LINE, ...lines, "", rest].join("\r\n");
  return checkAnswerHead(Buffer.from(head, "latin1"));
}

test.each([
  ["no field", []],
  ["an empty value", ["X-A:"]],
  ["a value of blanks", ["X-A: \t "]],
  ["all token characters", ["!#$%&'*+-.^_`|~09azAZ: v"]],
  ["bytes over 127 in a value", ["X-A: \u0080\u00e9\u00ff"]],
  ["colons in a value", ["X-A: b: c:"]],
  ["a tab behind a value", ["X-A: b\t"]],
  ["a tab before its coding", ["Transfer-Encoding:\tchunked "]],
])("a head with %s is one", (_, lines) => {
  const { fault, rest } = check(lines, "text");
  expect(fault).toBeUndefined();
  expect(rest.toString()).toBe("text");
});

test("empty lines before a head are passed over", () => {
  const bytes = Buffer.from(`\r\n\r\n${STATUS_LINE}\r\nX-A: b\r\n\r\ntext`);
  expect(checkAnswerHead(bytes).fault).toBeUndefined();
});

test.each([
  ["an empty name", ": v"],
  ["no colon", "X-A"],
  ["a blank at its start, which continues the line before", " X-A: v"],
  ["a blank before the colon", "X-A : v"],
  ["a control character in its value", "X-A: a\u007fb"],
  ["a tab behind its coding", "Transfer-Encoding: chunked\t "],
  ["a line feed in its value", "X-A: a\nb"],
  ["a carriage return in its value", "X-A: a\rb"],
])("a line with %s is no field", (_, line) => {
  expect(check([line]).fault).toBeDefined();
  expect(check(["X-B: c", line]).fault).toBeDefined();
  expect(check([line, "X-B: c"]).fault).toBeDefined();
});

test.each(["", "\r\n", STATUS_LINE, `${STATUS_LINE}\r\nX-A: b\r\n`])(
  "a head that has not ended (%j) is none",
  (text) => {
    expect(checkAnswerHead(Buffer.from(text)).fault).toBeDefined();
  },
);

test("a head that is ended by line feeds alone is none", () => {
  const bytes = Buffer.from(`${STATUS_LINE}\nX-A: b\n\ntext\r\n\r\n`);
  expect(checkAnswerHead(bytes).fault).toBeDefined();
});

// Guards against a head that stops all else while it is checked.
test("a long line of tabs or blanks is checked at once", () => {
  const blanks = ["\t", " ", "\t ", `\t${" ".repeat(99)}`];
  const startedMs = performance.now();
  blanks.forEach((text) => {
    const value = text.repeat(LONG_LINE / text.length);
    const { fault } = check([`Transfer-Encoding:${value}chunked`]);
    expect(fault).toBeUndefined();
  });
  expect(performance.now() - startedMs).toBeLessThan(MAX_CHECK_MS);
});

test("a name holds token characters alone, whatever the byte and its place", () => {
  const place = fc.record({
    byte: fc.integer({ min: 0, max: 255 }),
    name: fc.constantFrom("X-Odd", "Content-Length", "Transfer-Encoding"),
    at: fc.nat({ max: 17 }),
    before: fc.nat({ max: 3 }),
    after: fc.nat({ max: 3 }),
  });
  fc.assert(
    fc.property(place, ({ byte, name, at, before, after }) => {
      const character = String.fromCharCode(byte);
      // A colon would end the name.
      fc.pre(character !== ":");
      const line = `${name.slice(0, at)}${character}${name.slice(at)}: 2`;
      const build = (count: number) => Array(count).fill("X-A: b");
      const lines = [...build(before), line, ...build(after)];
      const isField = TOKEN_CHARACTER.test(character);
      expect(check(lines).fault === undefined).toBe(isField);
    }),
    RUNS,
  );
});
