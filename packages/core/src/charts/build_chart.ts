import type { Chart, ChartFile } from "./types.ts";

/** Builds the transition lookup table of a chart file, once at startup. */
export function buildChart(file: ChartFile): Chart {
  const transitions = new Map(
    Object.entries(file.states).flatMap(([state, node]) =>
      Object.entries(node.on ?? {}).map(
        ([event, target]) => [`${state}\n${event}`, target] as const,
      ),
    ),
  );
  const events = Object.values(file.states).flatMap((node) =>
    Object.keys(node.on ?? {}),
  );
  return {
    id: file.id,
    initial: file.initial,
    states: Object.keys(file.states),
    events: [...new Set(events)],
    isFinal: (state) => file.states[state]?.type === "final",
    next: (state, event) => transitions.get(`${state}\n${event}`),
  };
}
