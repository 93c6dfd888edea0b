import { runMain } from "./run_main.ts";

const exitCode = await runMain(process.argv.slice(2), {
  write: (text) => process.stdout.write(text),
  writeError: (text) => process.stderr.write(text),
});
if (exitCode !== undefined) {
  process.exit(exitCode);
}
