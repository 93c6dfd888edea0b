import { readFile } from "node:fs/promises";
import { parseArgs } from "node:util";
import { connectPlatform } from "@gooseberryline/protocol";
import { createLog } from "./logs/create_log.ts";
import { parseSettings } from "./settings/parse_settings.ts";
import type { Settings } from "./settings/types.ts";
import { startDaemon } from "./start_daemon.ts";
import { startEmbedded } from "./start_embedded.ts";

const USAGE = `usage: gooseberryd --settings FILE [--check] [--embedded]

  --settings FILE  settings of this instance, JSON with comments
  --check          only check the settings
  --embedded       run with an in-process platform store and a fake engine
  --help           print this text

exit codes: 0 stopped or checked, 1 invalid settings, 2 wrong usage
`;
const EXIT_CODES = { DONE: 0, INVALID: 1, USAGE: 2 } as const;

type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];

/** Output streams of the daemon. */
export type Output = {
  readonly write: (text: string) => void;
  readonly writeError: (text: string) => void;
};

/**
 * Runs the daemon's command line; returns an exit code, or undefined once an
 * instance is running.
 */
export async function runMain(
  args: readonly string[],
  output: Output,
): Promise<ExitCode | undefined> {
  const options = readOptions(args);
  if (options?.help === true) {
    output.write(USAGE);
    return EXIT_CODES.DONE;
  }
  if (options?.settings === undefined) {
    output.writeError(USAGE);
    return EXIT_CODES.USAGE;
  }
  const isEmbedded = options.embedded === true;
  const settings = await loadSettings(options.settings, isEmbedded, output);
  if (settings === undefined) {
    return EXIT_CODES.INVALID;
  }
  if (options.check === true) {
    output.write(`${options.settings}: valid\n`);
    return EXIT_CODES.DONE;
  }
  await run(settings, isEmbedded, output);
  return undefined;
}

function readOptions(args: readonly string[]) {
  try {
    return parseArgs({
      args: [...args],
      options: {
        settings: { type: "string" },
        check: { type: "boolean" },
        embedded: { type: "boolean" },
        help: { type: "boolean" },
      },
    }).values;
  } catch {
    return undefined;
  }
}

async function loadSettings(
  file: string,
  isEmbedded: boolean,
  { writeError }: Output,
): Promise<Settings | undefined> {
  const text = await readFile(file, "utf8").catch((error: Error) => {
    writeError(`${file}: ${error.message}\n`);
  });
  if (text === undefined) {
    return undefined;
  }
  const parsed = parseSettings(text);
  if (parsed.kind === "invalid") {
    parsed.faults.forEach(({ line, column, path, message }) => {
      writeError(`${file}:${line}:${column}: ${path}: ${message}\n`);
    });
    return undefined;
  }
  if (parsed.settings.platform === undefined && !isEmbedded) {
    writeError(`${file}:1:1: platform.url: is needed without --embedded\n`);
    return undefined;
  }
  return parsed.settings;
}

async function run(
  settings: Settings,
  isEmbedded: boolean,
  { write }: Output,
): Promise<void> {
  const { instanceId, dataCentre } = settings;
  const log = createLog({ instanceId, dataCentre }, write);
  const embedded = isEmbedded ? await startEmbedded(settings) : undefined;
  const url = embedded?.store.url ?? settings.platform?.url ?? "";
  const daemon = await startDaemon(settings, connectPlatform(url), { log });
  const stop = async (): Promise<void> => {
    await daemon.stop(isEmbedded ? 0 : settings.stopNoticeMs);
    await embedded?.close();
    process.exit(EXIT_CODES.DONE);
  };
  process.once("SIGTERM", stop);
  process.once("SIGINT", stop);
}
