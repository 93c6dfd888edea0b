import { expect, test } from "vitest";
import { RequestKey } from "./request_key.ts";

const CONTENT = {
  method: "POST",
  path: "/a?b",
  customer: "c1",
  body: Buffer.from("prompt"),
};

test("repeats of a request have the same key, other requests another", () => {
  const key = new RequestKey(CONTENT);
  expect(new RequestKey({ ...CONTENT }).matches(key.full)).toBe(true);
  const others = [
    { ...CONTENT, method: "PUT" },
    { ...CONTENT, path: "/a?c" },
    { ...CONTENT, customer: "c2" },
    { ...CONTENT, body: Buffer.from("prompd") },
    { ...CONTENT, body: Buffer.from("") },
  ];
  others.forEach((other) => {
    expect(new RequestKey(other).matches(key.full)).toBe(false);
  });
});

test("the body is read only where the rest of the key is the same", () => {
  let reads = 0;
  const body = new Proxy(Buffer.from("prompt"), {
    get: (target, name) => {
      reads += name === "length" ? 0 : 1;
      return Reflect.get(target, name);
    },
  });
  const key = new RequestKey({ ...CONTENT, path: "/other", body });
  expect(key.matches(new RequestKey(CONTENT).full)).toBe(false);
  expect(reads).toBe(0);
});
