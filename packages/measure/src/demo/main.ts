import { runDemo } from "./run_demo.ts";

await runDemo((line) => {
  process.stdout.write(`${line}\n`);
});
process.exit(0);
