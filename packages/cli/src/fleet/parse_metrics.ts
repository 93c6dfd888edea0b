import type { MetricSample } from "./types.ts";

const SAMPLE = /^([a-zA-Z_:][\w:]*)(?:\{(.*)\})? (\S+)/;
const LABEL = /(\w+)="((?:[^"\\]|\\.)*)"/g;

/** Parses metrics in the text format; other lines are passed over. */
export function parseMetrics(text: string): readonly MetricSample[] {
  return text.split("\n").flatMap((line) => {
    const [, name, labels = "", value] = SAMPLE.exec(line) ?? [];
    const number = Number(value);
    if (name === undefined || Number.isNaN(number)) {
      return [];
    }
    const pairs = [...labels.matchAll(LABEL)].map(
      ([, key = "", held = ""]) => [key, held] as const,
    );
    return [{ name, labels: Object.fromEntries(pairs), value: number }];
  });
}
