import { Command, type CommandClass, Option } from "clipanion";
import { AdminError } from "../client/admin_error.ts";
import { EXIT_CODES } from "../client/exit_codes.ts";
import type { ConfigAnswer } from "../client/types.ts";
import { printTable } from "../output/print_table.ts";
import { BaseCommand } from "./base_command.ts";
import { changeDocument } from "./change_document.ts";
import { readDocument } from "./read_document.ts";
import type { ToolContext } from "./types.ts";

/** A section of the configuration that has its own commands. */
export type Section = {
  /** First word of the command paths, e.g. "profile". */
  readonly commandName: string;
  readonly key: "profiles" | "customers";
  readonly columns: readonly string[];
};

type Entries = Readonly<Record<string, Readonly<Record<string, unknown>>>>;

/** Builds the `list`, `show`, `set` and `remove` commands of a section. */
export function buildSectionCommands({
  commandName,
  key,
  columns,
}: Section): readonly CommandClass<ToolContext>[] {
  const category = "Configuration";

  class ListCommand extends BaseCommand {
    static override paths = [[commandName, "list"], [commandName]];
    static override usage = Command.Usage({
      category,
      description: `List the ${key}`,
    });

    protected override async run(): Promise<unknown> {
      return (await this.client.get<ConfigAnswer>("config")).document[key];
    }

    protected override print(answer: unknown): string {
      const rows = Object.entries(answer as Entries).map(([name, entry]) => [
        name,
        ...columns.map((column) => printCell(entry[column])),
      ]);
      const headings = ["name", ...columns].map((text) => text.toUpperCase());
      return printTable(headings, rows);
    }
  }

  class ShowCommand extends BaseCommand {
    static override paths = [[commandName, "show"]];
    static override usage = Command.Usage({
      category,
      description: `Show one of the ${key}`,
    });
    readonly name = Option.String({ name: "NAME" });

    protected override async run(): Promise<unknown> {
      const { document } = await this.client.get<ConfigAnswer>("config");
      const entry = (document[key] as Entries)[this.name];
      if (entry === undefined) {
        const message = `no ${commandName} "${this.name}"`;
        throw new AdminError(message, EXIT_CODES.REFUSED);
      }
      return entry;
    }

    protected override print(answer: unknown): string {
      return `${JSON.stringify(answer, null, 2)}\n`;
    }
  }

  class SetCommand extends BaseCommand {
    static override paths = [[commandName, "set"]];
    static override usage = Command.Usage({
      category,
      description: `Add or replace one of the ${key} from a file`,
    });
    readonly name = Option.String({ name: "NAME" });
    readonly file = Option.String({ name: "FILE" });

    protected override async run(): Promise<unknown> {
      const entry = await readDocument(this.file, this.context.stdin);
      return changeDocument(this.client, (document) => ({
        ...document,
        [key]: { ...document[key], [this.name]: entry },
      }));
    }

    protected override print(answer: unknown): string {
      return `revision ${(answer as ConfigAnswer).revision}\n`;
    }
  }

  class RemoveCommand extends BaseCommand {
    static override paths = [[commandName, "remove"]];
    static override usage = Command.Usage({
      category,
      description: `Remove one of the ${key}`,
    });
    readonly name = Option.String({ name: "NAME" });

    protected override async run(): Promise<unknown> {
      return changeDocument(this.client, (document) => {
        const { [this.name]: removed, ...rest } = document[key] as Entries;
        if (removed === undefined) {
          const message = `no ${commandName} "${this.name}"`;
          throw new AdminError(message, EXIT_CODES.REFUSED);
        }
        return { ...document, [key]: rest };
      });
    }

    protected override print(answer: unknown): string {
      return `revision ${(answer as ConfigAnswer).revision}\n`;
    }
  }

  return [ListCommand, ShowCommand, SetCommand, RemoveCommand];
}

function printCell(value: unknown): string | number {
  return typeof value === "number" ? value : String(value ?? "");
}
