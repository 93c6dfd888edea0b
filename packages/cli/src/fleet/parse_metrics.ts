import type { MetricSample } from "./types.ts";

const SAMPLE = /^([a-zA-Z_:][\w:]*)(?:\{(.*)\})? (\S+)/;
const LABEL = /(\w+)="((?:[^"\\]|\\.)*)"/g;

/** Parses metrics in the Prometheus text format; ignores other lines. */
export function parseMetrics(text: string): readonly MetricSample[] {
  return text.split("\n").flatMap((line) => {
    const [, name, labels = "", value] = SAMPLE.exec(line) ?? [];
    const number = Number(value);
    if (name === undefined || Number.isNaN(number)) {
      return [];
    }
    const labelPairs = [...labels.matchAll(LABEL)].map(
      ([, key = "", labelValue = ""]) => [key, labelValue] as const,
    );
    return [{ name, labels: Object.fromEntries(labelPairs), value: number }];
  });
}
