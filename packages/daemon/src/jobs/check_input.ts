import { createHash } from "node:crypto";
import { parseLine } from "./parse_line.ts";
import { type Line, readLines } from "./read_lines.ts";
import type { InputLine, LineFault } from "./types.ts";

const HASH_BYTES = 6;

/** Validation rules for a job's input file. */
export type InputRules = {
  readonly endpoint: string;
  readonly maxItems: number;
  /** Maximum length of a line, in bytes. */
  readonly maxLineBytes: number;
  /** Validates an item's request body against the profile. */
  readonly checkBody: (body: InputLine["body"]) => LineFault | undefined;
};

/**
 * Result of validating an input: the offsets of its items, or the first error.
 */
export type CheckedInput =
  | {
      readonly kind: "valid";
      readonly model: string;
      /** Byte offset at which each item's line starts. */
      readonly offsets: readonly number[];
      readonly contentHash: string;
    }
  | ({ readonly kind: "invalid"; readonly line: number } & LineFault);

type InputScan = {
  readonly offsets: number[];
  readonly idHashes: number[];
  model: unknown;
  fault: ({ readonly line: number } & LineFault) | undefined;
};

/**
 * Validates JSON Lines input as a stream. Ids are compared by a short hash
 * first to limit memory use; if two hashes collide, `open` is called again to
 * compare the full ids.
 */
export async function checkInput(
  open: () => AsyncIterable<Buffer>,
  rules: InputRules,
): Promise<CheckedInput> {
  const scan: InputScan = {
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
  const repeatedLine = await findRepeatedId(open, scan.idHashes, rules);
  if (repeatedLine !== undefined) {
    const message = "custom_id stands on an earlier line as well";
    const code = "duplicate_custom_id";
    return { kind: "invalid", line: repeatedLine, code, message };
  }
  return {
    kind: "valid",
    model: String(scan.model),
    offsets: scan.offsets,
    contentHash: hash.digest("hex"),
  };
}

function checkLine(
  line: Line,
  scan: InputScan,
  rules: InputRules,
): InputScan["fault"] {
  const text = line.bytes.toString();
  if (text.trim() === "") {
    return undefined;
  }
  const fault = line.isTooLong
    ? {
        code: "line_too_long",
        message: `a line may take ${rules.maxLineBytes} bytes`,
      }
    : checkItem(text, line, { scan, rules });
  return fault === undefined ? undefined : { line: line.number, ...fault };
}

function checkItem(
  text: string,
  line: Line,
  { scan, rules }: { readonly scan: InputScan; readonly rules: InputRules },
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

/** Returns the number of the first line that repeats an earlier id. */
async function findRepeatedId(
  open: () => AsyncIterable<Buffer>,
  hashes: readonly number[],
  rules: InputRules,
): Promise<number | undefined> {
  const sorted = Float64Array.from(hashes).sort();
  const collidingHashes = new Set(
    sorted.filter((hash, at) => at > 0 && hash === sorted[at - 1]),
  );
  if (collidingHashes.size === 0) {
    return undefined;
  }
  const seenIds = new Set<string>();
  for await (const line of readLines(open(), rules.maxLineBytes)) {
    const parsed = parseLine(line.bytes.toString());
    if ("code" in parsed || !collidingHashes.has(hashId(parsed.customId))) {
      continue;
    }
    if (seenIds.has(parsed.customId)) {
      return line.number;
    }
    seenIds.add(parsed.customId);
  }
  return undefined;
}
