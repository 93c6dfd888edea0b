import type { Readable, Writable } from "node:stream";
import { Builtins, Cli } from "clipanion";
import { AdminClient } from "./client/admin_client.ts";
import { EXIT_CODES } from "./client/exit_codes.ts";
import { parseGlobals } from "./client/parse_globals.ts";
import { buildSectionCommands } from "./commands/build_section_commands.ts";
import { BurnCommand } from "./commands/burn_command.ts";
import { CompletionCommand } from "./commands/completion_command.ts";
import { CONFIG_COMMANDS } from "./commands/config_commands.ts";
import { DATA_CENTRE_COMMANDS } from "./commands/data_centre_commands.ts";
import { ExplainCommand } from "./commands/explain_command.ts";
import { FleetCommand } from "./commands/fleet_command.ts";
import { JOB_COMMANDS } from "./commands/job_commands.ts";
import { KEY_COMMANDS } from "./commands/key_commands.ts";
import { PlaceCommand } from "./commands/place_command.ts";
import { RunsCommand } from "./commands/runs_command.ts";
import { StatusCommand } from "./commands/status_command.ts";
import type { ToolContext } from "./commands/types.ts";

const DEFAULT_ADMIN_URL = "http://127.0.0.1:8081";

/** Streams and environment of the tool. */
export type ToolStreams = {
  readonly stdin: Readable;
  readonly stdout: Writable;
  readonly stderr: Writable;
  readonly env: Readonly<Record<string, string | undefined>>;
};

/** Runs a command line and returns the exit code. */
export async function runTool(
  argv: readonly string[],
  { stdin, stdout, stderr, env }: ToolStreams,
): Promise<number> {
  const { admin, token, isJson, rest } = parseGlobals(argv);
  const url = admin ?? env.GOOSEBERRY_ADMIN ?? DEFAULT_ADMIN_URL;
  const secret = token ?? env.GOOSEBERRY_TOKEN ?? "";
  const cli = createCli();
  const context: ToolContext = {
    ...Cli.defaultContext,
    stdin,
    stdout,
    stderr,
    env: { ...env },
    client: new AdminClient(url, secret),
    isJson,
  };
  try {
    const command = cli.process([...rest], context);
    return await cli.run(command, context);
  } catch (error) {
    stderr.write(cli.error(error));
    return EXIT_CODES.USAGE;
  }
}

function createCli(): Cli<ToolContext> {
  const cli = new Cli<ToolContext>({
    binaryLabel: "gooseberryctl [--admin URL] [--token TOKEN] [--json]",
    binaryName: "gooseberryctl",
    binaryVersion: "0.1.0",
  });
  const profiles = {
    commandName: "profile",
    key: "profiles",
    columns: ["firstTokenMs", "deadlineMs", "idempotent", "batchDueMs"],
  } as const;
  const customers = {
    commandName: "customer",
    key: "customers",
    columns: ["rate", "burst", "weight", "defaultProfile", "batchProfile"],
  } as const;
  [
    Builtins.HelpCommand,
    Builtins.VersionCommand,
    StatusCommand,
    ...CONFIG_COMMANDS,
    ...buildSectionCommands(profiles),
    ...buildSectionCommands(customers),
    ...KEY_COMMANDS,
    ...DATA_CENTRE_COMMANDS,
    ...JOB_COMMANDS,
    RunsCommand,
    BurnCommand,
    ExplainCommand,
    FleetCommand,
    PlaceCommand,
    CompletionCommand,
  ].forEach((command) => {
    cli.register(command);
  });
  return cli;
}
