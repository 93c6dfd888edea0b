import { readFile } from "node:fs/promises";
import { AdminError } from "../client/admin_error.ts";
import { EXIT_CODES } from "../client/exit_codes.ts";

/** Reads the text of a file; `-` is standard input. */
export async function readText(
  file: string,
  stdin: NodeJS.ReadableStream,
): Promise<string> {
  if (file === "-") {
    return readAll(stdin);
  }
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
