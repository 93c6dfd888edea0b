import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";

/** A child process that runs one of this repository's programs. */
export type Program = {
  readonly process: ChildProcess;
  /** Fields of the program's "listening" log line. */
  readonly listening: Readonly<Record<string, string>>;
  readonly ended: Promise<number | null>;
};

/** Starts a program and resolves when it logs that it is listening. */
export function spawnProgram(
  script: string,
  args: readonly string[],
  onLine: (line: string) => void = () => undefined,
): Promise<Program> {
  const child = spawn(process.execPath, [script, ...args], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  const ended = new Promise<number | null>((resolve) => {
    child.once("exit", resolve);
  });
  return new Promise((resolve, reject) => {
    child.once("exit", (code) => reject(new Error(`${script}: exit ${code}`)));
    const lines = createInterface({ input: child.stdout });
    lines.on("line", (line) => {
      onLine(line);
      if (line.includes('"event":"listening"')) {
        const listening = JSON.parse(line) as Record<string, string>;
        resolve({ process: child, listening, ended });
      }
    });
  });
}
