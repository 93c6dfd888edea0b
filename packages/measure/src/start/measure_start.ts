import { spawn } from "node:child_process";
import { readFileSync } from "node:fs";

/** Time and memory that a process uses up to its first log line. */
export type StartCost = {
  readonly wallMs: number;
  readonly processorMs: number;
  readonly residentMb: number;
};

const TICKS_PER_SECOND = 100;
const KB_PER_MB = 1_024;
/** Zero-based field index in `/proc/PID/stat`. */
const USER_TICKS = 13;
const SYSTEM_TICKS = 14;

/** Starts a program and measures its cost up to its first output. */
export async function measureStart(
  program: string,
  variable: string,
  settingsPath: string,
): Promise<StartCost> {
  const startedMs = performance.now();
  const child = spawn(process.execPath, [program], {
    env: { ...process.env, [variable]: settingsPath },
    stdio: ["ignore", "pipe", "inherit"],
  });
  await new Promise((resolve) => child.stdout.once("data", resolve));
  const wallMs = performance.now() - startedMs;
  const stat = readFileSync(`/proc/${child.pid}/stat`, "utf8").split(" ");
  const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
  const residentKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  child.kill("SIGKILL");
  const ticks = Number(stat[USER_TICKS]) + Number(stat[SYSTEM_TICKS]);
  return {
    wallMs,
    processorMs: (ticks / TICKS_PER_SECOND) * 1_000,
    residentMb: residentKb / KB_PER_MB,
  };
}
