import { expect, test } from "vitest";
import { memberRecord } from "./member_record.ts";

const MEMBER = {
  id: "i1",
  incarnation: "1",
  address: "127.0.0.1",
  port: 7_360,
  relayPort: 7_362,
  dataCentre: "a",
  duty: "serve",
} as const;

test("a record of an instance is read as written", () => {
  const bytes = memberRecord.encode(MEMBER);
  expect(memberRecord.decode(bytes)).toEqual(MEMBER);
});

// Guards against ports that no socket takes, which ended processes.
test.each([
  { port: 99_999 },
  { port: -1 },
  { relayPort: 1e300 },
  { address: "999.0.0.1" },
  { address: "" },
])("a record of an instance with %j is unreadable", (field) => {
  const bytes = Buffer.from(JSON.stringify({ ...MEMBER, ...field }));
  expect(memberRecord.decode(bytes)).toBeUndefined();
});
