/** Runs the fake platform store as a program: `npm run store -- --help`. */
import { readFile } from "node:fs/promises";
import { parseArgs } from "node:util";
import type { ListedInstance } from "@gooseberryline/core";
import { connectPlatform } from "@gooseberryline/protocol";
import { startStore } from "../platform/start_store.ts";

const USAGE = `usage: npm run store -- [--port PORT] [--config FILE]
         [--instance ID,DATA-CENTRE,IP:PORT]...
Lists each --instance as the platform does. --config is stored as revision 1.
POST /control/faults injects faults; POST /control/instances changes the list.
`;

const { values } = parseArgs({
  options: {
    port: { type: "string", default: "0" },
    config: { type: "string" },
    instance: { type: "string", multiple: true, default: [] },
    help: { type: "boolean" },
  },
});

if (values.help === true) {
  process.stdout.write(USAGE);
  process.exit(0);
}
const store = await startStore(
  { instances: values.instance.map(parseInstance) },
  Number(values.port),
);
if (values.config !== undefined) {
  const document: unknown = JSON.parse(await readFile(values.config, "utf8"));
  const value = JSON.stringify({ revision: 1, document });
  const record = { key: "config/current", value, expect: 0 };
  await connectPlatform(store.url).cas(record);
}
const line = { event: "listening", url: store.url };
process.stdout.write(`${JSON.stringify(line)}\n`);

function parseInstance(text: string): ListedInstance {
  const [instanceId, dataCentre, address] = text.split(",");
  if (!instanceId || !dataCentre || !address) {
    process.stderr.write(USAGE);
    process.exit(2);
  }
  return { instanceId, dataCentre, address, state: "live" };
}
