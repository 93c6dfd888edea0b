import { Command, Option } from "clipanion";
import type { ConfigAnswer } from "../client/types.ts";
import { type Change, listChanges } from "../output/list_changes.ts";
import { BaseCommand } from "./base_command.ts";
import { readDocument } from "./read_document.ts";

class ConfigGetCommand extends BaseCommand {
  static override paths = [["config", "get"]];
  static override usage = Command.Usage({
    category: "Configuration",
    description: "Print the configuration document",
  });

  protected override run(): Promise<unknown> {
    return this.client.get<ConfigAnswer>("config");
  }

  protected override print(answer: unknown): string {
    const { revision, document } = answer as ConfigAnswer;
    const text = JSON.stringify(document, null, 2);
    return `// revision ${revision}\n${text}\n`;
  }
}

class ConfigPutCommand extends BaseCommand {
  static override paths = [["config", "put"]];
  static override usage = Command.Usage({
    category: "Configuration",
    description: "Replace the configuration document",
    details:
      "Fails if the document has changed since the given revision. Without " +
      "--revision, the current revision is read before the write.",
  });
  readonly file = Option.String({ name: "FILE" });
  readonly revision = Option.String("--revision");

  protected override async run(): Promise<unknown> {
    const json = await readDocument(this.file, this.context.stdin);
    const revision =
      this.revision ??
      String((await this.client.get<ConfigAnswer>("config")).revision);
    return this.client.call({
      method: "PUT",
      path: "config",
      json,
      headers: { "if-match": `"${revision}"` },
    });
  }

  protected override print(answer: unknown): string {
    return `revision ${(answer as ConfigAnswer).revision}\n`;
  }
}

class ConfigDiffCommand extends BaseCommand {
  static override paths = [["config", "diff"]];
  static override usage = Command.Usage({
    category: "Configuration",
    description: "Show the changes that a file would make",
  });
  readonly file = Option.String({ name: "FILE" });

  protected override async run(): Promise<unknown> {
    const { document } = await this.client.get<ConfigAnswer>("config");
    const proposed = await readDocument(this.file, this.context.stdin);
    return listChanges(document, proposed);
  }

  protected override print(answer: unknown): string {
    return (answer as readonly Change[])
      .map(({ path, before, after }) => {
        const from = JSON.stringify(before) ?? "absent";
        const to = JSON.stringify(after) ?? "absent";
        return `${path}: ${from} -> ${to}\n`;
      })
      .join("");
  }
}

/** Commands `config get|put|diff`. */
export const CONFIG_COMMANDS = [
  ConfigGetCommand,
  ConfigPutCommand,
  ConfigDiffCommand,
] as const;
