import { type ParseError, parse, printParseErrorCode } from "jsonc-parser";
import { AdminError } from "../client/admin_error.ts";
import { EXIT_CODES } from "../client/exit_codes.ts";
import { readText } from "./read_text.ts";

/** Reads a JSON document with comments from a file; `-` is standard input. */
export async function readDocument(
  file: string,
  stdin: NodeJS.ReadableStream,
): Promise<unknown> {
  const text = await readText(file, stdin);
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, { allowTrailingComma: true });
  const [error] = errors;
  if (error !== undefined) {
    const line = text.slice(0, error.offset).split("\n").length;
    throw new AdminError(
      `${file}:${line}: ${printParseErrorCode(error.error)}`,
      EXIT_CODES.USAGE,
    );
  }
  return value;
}
