import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { expect, test } from "vitest";
import { BodyBudget } from "./body_budget.ts";

const createRequest = (text: string, headers: Record<string, string> = {}) =>
  Object.assign(Readable.from([Buffer.from(text)]), {
    headers: { "content-length": String(text.length), ...headers },
  }) as unknown as IncomingMessage;

const never = () => new Promise<string>(() => undefined);
const toText = async (body: Buffer) => body.toString();

test("bodies in memory stay within the budget", async () => {
  const budget = new BodyBudget(10);
  void budget.handleBody(createRequest("123456"), 8, never);
  await expect(
    budget.handleBody(createRequest("12345"), 8, toText),
  ).rejects.toMatchObject({
    status: 503,
    body: { error: { run: "not run", code: "no_capacity" } },
  });
  expect(await budget.handleBody(createRequest("1234"), 8, toText)).toBe(
    "1234",
  );
});

test("a body returns its bytes to the budget, also when it is refused", async () => {
  const budget = new BodyBudget(10);
  const tooLarge = budget.handleBody(createRequest("123456789"), 8, toText);
  await expect(tooLarge).rejects.toMatchObject({ status: 413 });
  await budget.handleBody(createRequest("12345678"), 8, toText);
  expect(
    await budget.handleBody(createRequest("12345678"), 10, toText),
  ).toHaveLength(8);
});

test("a body of unknown length counts as the largest allowed one", async () => {
  const budget = new BodyBudget(10);
  const headers = { "content-length": undefined as unknown as string };
  void budget.handleBody(createRequest("1", headers), 8, never);
  const next = budget.handleBody(createRequest("123"), 8, toText);
  await expect(next).rejects.toMatchObject({ status: 503 });
});
