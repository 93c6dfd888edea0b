import { runTool } from "./run_tool.ts";

process.exitCode = await runTool(process.argv.slice(2), {
  stdin: process.stdin,
  stdout: process.stdout,
  stderr: process.stderr,
  env: process.env,
});
