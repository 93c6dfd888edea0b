/** Runs the fake model engine as a program: `npm run engine -- --help`. */
import { parseArgs } from "node:util";
import { startEngine } from "../engine/start_engine.ts";

const USAGE = `usage: npm run engine -- [--port PORT] [--first-token-ms MS]
         [--token-ms MS] [--tokens COUNT]
`;

const { values } = parseArgs({
  options: {
    port: { type: "string", default: "0" },
    "first-token-ms": { type: "string", default: "100" },
    "token-ms": { type: "string", default: "20" },
    tokens: { type: "string", default: "50" },
    help: { type: "boolean" },
  },
});

if (values.help === true) {
  process.stdout.write(USAGE);
  process.exit(0);
}
const engine = await startEngine(
  {
    firstTokenMs: Number(values["first-token-ms"]),
    tokenMs: Number(values["token-ms"]),
    tokens: Number(values.tokens),
  },
  Number(values.port),
);
const line = { event: "listening", url: engine.url };
process.stdout.write(`${JSON.stringify(line)}\n`);
