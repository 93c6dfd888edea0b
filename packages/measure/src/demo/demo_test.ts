import { expect, test } from "vitest";
import { runDemo } from "./run_demo.ts";

test("the demo runs to completion", async () => {
  const lines: string[] = [];
  await runDemo((line) => {
    lines.push(line);
  });
  expect(lines[0]).toContain("data: [DONE]");
  expect(lines).toContain("batch: 200 lines for 200 items");
});
