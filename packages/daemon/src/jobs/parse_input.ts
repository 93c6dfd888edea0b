import type { InputLine } from "./types.ts";

/** The checked lines of a job's input, or the first fault and its line. */
export type ParsedInput =
  | {
      readonly kind: "valid";
      readonly lines: readonly InputLine[];
      readonly model: string;
    }
  | {
      readonly kind: "invalid";
      readonly line: number;
      readonly code: string;
      readonly message: string;
    };

type Checked = InputLine | { readonly code: string; readonly message: string };

/** Parses JSON Lines input; every line needs its own `custom_id`. */
export function parseInput(content: Buffer, endpoint: string): ParsedInput {
  const texts = content.toString().split("\n");
  const numbered = texts
    .map((text, at) => ({ text, line: at + 1 }))
    .filter(({ text }) => text.trim() !== "");
  const checked = numbered.map(({ text, line }) => ({
    line,
    value: parseLine(text, endpoint),
  }));
  const broken = checked.find(({ value }) => "code" in value);
  if (broken !== undefined && "code" in broken.value) {
    return { kind: "invalid", line: broken.line, ...broken.value };
  }
  const lines = checked.map(({ value }) => value as InputLine);
  const seen = new Set<string>();
  const repeated = checked.find(({ value }) => {
    const { customId } = value as InputLine;
    const isRepeated = seen.has(customId);
    seen.add(customId);
    return isRepeated;
  });
  if (repeated !== undefined) {
    const message = "custom_id stands on an earlier line as well";
    return {
      kind: "invalid",
      line: repeated.line,
      code: "duplicate_custom_id",
      message,
    };
  }
  const model = String(lines[0]?.body.model);
  const other = checked.find(
    ({ value }) => (value as InputLine).body.model !== model,
  );
  if (lines.length === 0 || other !== undefined) {
    return {
      kind: "invalid",
      line: other?.line ?? 1,
      code: lines.length === 0 ? "empty_file" : "mismatched_model",
      message:
        lines.length === 0
          ? "the file has no line"
          : "every line must name the same model",
    };
  }
  return { kind: "valid", lines, model };
}

function parseLine(text: string, endpoint: string): Checked {
  const value = parseText(text);
  if (typeof value !== "object" || value === null) {
    return { code: "invalid_json_line", message: "not a JSON object" };
  }
  const { custom_id: customId, url, body } = value as Record<string, unknown>;
  if (typeof customId !== "string" || customId === "") {
    return { code: "missing_custom_id", message: "custom_id is missing" };
  }
  if (url !== endpoint) {
    return { code: "invalid_url", message: `url must be ${endpoint}` };
  }
  if (typeof body !== "object" || body === null || Array.isArray(body)) {
    return { code: "invalid_body", message: "body must be an object" };
  }
  return { customId, url, body: body as InputLine["body"] };
}

function parseText(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
