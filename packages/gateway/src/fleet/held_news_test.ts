import { expect, test } from "vitest";
import { createView } from "../testing/create_view.ts";
import { FleetView } from "./fleet_view.ts";

// Guards against sound answers that seem to come after a crash, as news was held.
test("news that was held counts from when it arrived", () => {
  const { settings } = createView();
  const clock = { nowMs: 1_000 };
  const view = new FleetView(settings, "1", () => clock.nowMs);
  const crash = { upstreamId: "u", suspects: [], downAt: [], reachedAt: [] };
  const report = { ...crash, ageMs: 10 };
  const news = { crashes: [report], soundAges: {}, blocks: [], inForce: [] };
  const told = { ...view.buildMessage(false), from: "p", crashes: news };
  const heard: number[] = [];
  view.crashes.onNewCrash = ({ atMs }) => heard.push(atMs);
  clock.nowMs = 1_043;
  view.receiveMessage(told, "h", 1_000);
  expect(heard).toEqual([990]);
  expect(view.load.hasDirectContact("p", 0, 1_000)).toBe(false);
  expect(view.load.hasRecentMessage("p", 43, 1_043)).toBe(true);
  expect(view.load.hasRecentMessage("p", 42, 1_043)).toBe(false);
});
