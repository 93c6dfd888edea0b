import { expect, test } from "vitest";
import { parseSettings } from "./parse_settings.ts";

const faultOf = (text: string) => {
  const parsed = parseSettings(text);
  return parsed.kind === "invalid" ? parsed.faults.at(0) : undefined;
};

test("comments and trailing commas are allowed", () => {
  const text = '{\n// who\n"instanceId": "one", "dataCentre": "a",\n}';
  expect(parseSettings(text).kind).toBe("valid");
});

test("a broken file names line and column", () => {
  expect(faultOf('{\n  "instanceId" 1 }')).toMatchObject({
    line: 2,
    column: 16,
  });
});

test("a wrong type names its key and place", () => {
  const text =
    '{"instanceId":"one","dataCentre":"a",\n"callerListener":{"port":"x"}}';
  expect(faultOf(text)).toMatchObject({
    line: 2,
    column: 26,
    path: "callerListener.port",
  });
});

test("an unknown key is refused", () => {
  const text = '{"instanceId":"one","dataCentre":"a",\n"colour":1}';
  expect(faultOf(text)).toMatchObject({ line: 2, path: "colour" });
});
