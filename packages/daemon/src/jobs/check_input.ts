import { createHash } from "node:crypto";
import { parseLine } from "./parse_line.ts";
import { type Line, readLines } from "./read_lines.ts";
import type { InputLine, LineFault } from "./types.ts";

const HASH_BYTES = 6;

/** What a job's input must keep to. */
export type InputRules = {
  readonly endpoint: string;
  readonly maxItems: number;
  /** Longest line, bytes. */
  readonly maxLineBytes: number;
  /** Checks an item's body against the profile. */
  readonly checkBody: (body: InputLine["body"]) => LineFault | undefined;
};

/** The checked input: where its items are, or its first fault. */
export type CheckedInput =
  | {
      readonly kind: "valid";
      readonly model: string;
      /** Byte at which each item's line starts. */
      readonly offsets: readonly number[];
      readonly contentHash: string;
    }
  | ({ readonly kind: "invalid"; readonly line: number } & LineFault);

type Scan = {
  readonly offsets: number[];
  readonly idHashes: number[];
  model: unknown;
  fault: ({ readonly line: number } & LineFault) | undefined;
};

/**
 * Checks JSON Lines input as it streams in. Ids are compared by a short hash
 * first, so that memory stays small; `open` gives the content again where
 * two hashes meet.
 */
export async function checkInput(
  open: () => AsyncIterable<Buffer>,
  rules: InputRules,
): Promise<CheckedInput> {
  const scan: Scan = {
    offsets: [],
    idHashes: [],
    model: undefined,
    fault: undefined,
  };
  const hash = createHash("sha256");
  for await (const line of readLines(open(), rules.maxLineBytes)) {
    hash.update(line.bytes).update("\n");
    scan.fault = checkLine(line, scan, rules);
    if (scan.fault !== undefined) {
      return { kind: "invalid", ...scan.fault };
    }
  }
  if (scan.offsets.length === 0) {
    const message = "the file has no line";
    return { kind: "invalid", line: 1, code: "empty_file", message };
  }
  const repeated = await findRepeatedId(open, scan.idHashes, rules);
  if (repeated !== undefined) {
    const message = "custom_id stands on an earlier line as well";
    const code = "duplicate_custom_id";
    return { kind: "invalid", line: repeated, code, message };
  }
  return {
    kind: "valid",
    model: String(scan.model),
    offsets: scan.offsets,
    contentHash: hash.digest("hex"),
  };
}

function checkLine(line: Line, scan: Scan, rules: InputRules): Scan["fault"] {
  const text = line.bytes.toString();
  if (text.trim() === "") {
    return undefined;
  }
  const fault = line.isTooLong
    ? {
        code: "line_too_long",
        message: `a line may take ${rules.maxLineBytes} bytes`,
      }
    : noteItem(text, line, { scan, rules });
  return fault === undefined ? undefined : { line: line.number, ...fault };
}

function noteItem(
  text: string,
  line: Line,
  { scan, rules }: { readonly scan: Scan; readonly rules: InputRules },
): LineFault | undefined {
  const parsed = parseLine(text);
  if ("code" in parsed) {
    return parsed;
  }
  if (parsed.url !== rules.endpoint) {
    return { code: "invalid_url", message: `url must be ${rules.endpoint}` };
  }
  scan.model = scan.offsets.length === 0 ? parsed.body.model : scan.model;
  if (parsed.body.model !== scan.model) {
    const message = "every line must name the same model";
    return { code: "mismatched_model", message };
  }
  scan.offsets.push(line.offset);
  scan.idHashes.push(hashId(parsed.customId));
  if (scan.offsets.length > rules.maxItems) {
    const message = `the profile allows ${rules.maxItems} items in a job`;
    return { code: "too_many_items", message };
  }
  return rules.checkBody(parsed.body);
}

function hashId(id: string): number {
  return createHash("md5").update(id).digest().readUIntBE(0, HASH_BYTES);
}

/** The line of the first id that stands twice. */
async function findRepeatedId(
  open: () => AsyncIterable<Buffer>,
  hashes: readonly number[],
  rules: InputRules,
): Promise<number | undefined> {
  const sorted = Float64Array.from(hashes).sort();
  const doubtful = new Set(
    sorted.filter((hash, at) => at > 0 && hash === sorted[at - 1]),
  );
  if (doubtful.size === 0) {
    return undefined;
  }
  const seen = new Set<string>();
  for await (const line of readLines(open(), rules.maxLineBytes)) {
    const parsed = parseLine(line.bytes.toString());
    if ("code" in parsed || !doubtful.has(hashId(parsed.customId))) {
      continue;
    }
    if (seen.has(parsed.customId)) {
      return line.number;
    }
    seen.add(parsed.customId);
  }
  return undefined;
}
