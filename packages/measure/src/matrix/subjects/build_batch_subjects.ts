import type { Subject } from "../types.ts";
import { BATCH_PROBE } from "./batch_probe.ts";

/** Builds the subjects of batch work: an item, its segment and its job. */
export function buildBatchSubjects(): readonly Subject[] {
  const { SCENARIOS: scenarios, locate, listFaults } = BATCH_PROBE;
  const shared = { scenarios, locate, listFaults };
  const { readItemStep, readSegmentStep, readJobStep } = BATCH_PROBE;
  return [
    { ...shared, name: "item", chart: "item", readStep: readItemStep },
    { ...shared, name: "segment", chart: "segment", readStep: readSegmentStep },
    { ...shared, name: "job", chart: "job", readStep: readJobStep },
  ];
}
