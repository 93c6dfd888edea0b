import { readFile } from "node:fs/promises";
import { parseArgs } from "node:util";
import { connectPlatform } from "@gooseberryline/protocol";
import { createLog, type Log } from "./logs/create_log.ts";
import { parseSettings } from "./settings/parse_settings.ts";
import type { Settings } from "./settings/types.ts";
import { startDaemon } from "./start_daemon.ts";
import { startEmbedded } from "./start_embedded.ts";

const USAGE = "usage: gooseberryd --settings FILE [--check] [--embedded]\n";
const EXIT_USAGE = 2;
const EXIT_INVALID = 1;

const { values } = parseArgs({
  options: {
    settings: { type: "string" },
    check: { type: "boolean" },
    embedded: { type: "boolean" },
    help: { type: "boolean" },
  },
});

if (values.settings === undefined || values.help === true) {
  process.stderr.write(USAGE);
  process.exit(values.help === true ? 0 : EXIT_USAGE);
}
const parsed = parseSettings(await readFile(values.settings, "utf8"));
if (parsed.kind === "invalid") {
  parsed.faults.forEach(({ line, column, path, message }) => {
    const place = `${values.settings}:${line}:${column}`;
    process.stderr.write(`${place}: ${path}: ${message}\n`);
  });
  process.exit(EXIT_INVALID);
}
if (values.check !== true) {
  const { instanceId, dataCentre } = parsed.settings;
  const log = createLog({ instanceId, dataCentre }, (line) => {
    process.stdout.write(line);
  });
  await run(parsed.settings, log, values.embedded === true);
}

async function run(
  settings: Settings,
  log: Log,
  isEmbedded: boolean,
): Promise<void> {
  const embedded = isEmbedded ? await startEmbedded(settings) : undefined;
  const url = embedded?.store.url ?? settings.platform?.url;
  if (url === undefined) {
    process.stderr.write("settings: platform.url is needed\n");
    process.exit(EXIT_INVALID);
  }
  const daemon = await startDaemon(settings, connectPlatform(url), { log });
  const stop = async (): Promise<void> => {
    await daemon.stop();
    await embedded?.close();
    process.exit(0);
  };
  process.once("SIGTERM", stop);
  process.once("SIGINT", stop);
}
