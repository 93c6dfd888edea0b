import { PassThrough, Readable } from "node:stream";
import { runTool } from "../run_tool.ts";

/** Runs the tool with these words; returns its exit code and what it wrote. */
export async function runCommand(...argv: string[]) {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const stdin = Readable.from([]);
  const code = await runTool(argv, { stdin, stdout, stderr, env: {} });
  const read = (stream: PassThrough): string => String(stream.read() ?? "");
  return { code, out: read(stdout), err: read(stderr) };
}
