import { expect, test } from "vitest";
import { listSteps } from "./list_steps.ts";

test.each(listSteps("job"))("$name holds under every fault", (step) => {
  expect(step.listBroken()).toEqual([]);
});
