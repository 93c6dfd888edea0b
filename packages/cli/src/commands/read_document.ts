import { readFile } from "node:fs/promises";
import { type ParseError, parse, printParseErrorCode } from "jsonc-parser";
import { AdminError } from "../client/admin_error.ts";
import { EXIT_CODES } from "../client/exit_codes.ts";

/** Reads JSON with comments from a file, or from standard input for `-`. */
export async function readDocument(
  file: string,
  stdin: NodeJS.ReadableStream,
): Promise<unknown> {
  const text = file === "-" ? await readAll(stdin) : await readText(file);
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

async function readText(file: string): Promise<string> {
  try {
    return await readFile(file, "utf8");
  } catch (error) {
    const message = `${file}: ${(error as Error).message}`;
    throw new AdminError(message, EXIT_CODES.USAGE);
  }
}

async function readAll(stdin: NodeJS.ReadableStream): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of stdin) {
    chunks.push(Buffer.from(chunk as Buffer));
  }
  return Buffer.concat(chunks).toString();
}
