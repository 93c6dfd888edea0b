import { Command, Option } from "clipanion";
import { AdminError } from "../client/admin_error.ts";
import { EXIT_CODES } from "../client/exit_codes.ts";
import { buildExplanation } from "../explain/build_explanation.ts";
import { parseLog } from "../explain/parse_log.ts";
import { renderExplanation } from "../explain/render_explanation.ts";
import type { Explanation } from "../explain/types.ts";
import { BaseCommand } from "./base_command.ts";
import { readText } from "./read_text.ts";

/** `explain ID [FILE...]`: explains a request, job or item from logs. */
export class ExplainCommand extends BaseCommand {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    category: "Reports",
    description: "Explain the course of a request, job or item from log files",
    details:
      "Reads the JSON log lines of one or more instances from files, or from standard input if no file is given. No instance is contacted.",
    examples: [["Explain a request", "gooseberryctl explain 4f2a… logs/*.log"]],
  });
  readonly id = Option.String({ name: "ID" });
  readonly files = Option.Rest({ name: "FILE" });

  protected override async run(): Promise<Explanation> {
    const names = this.files.length === 0 ? ["-"] : this.files;
    const texts = await Promise.all(
      names.map((name) => readText(name, this.context.stdin)),
    );
    const logs = texts.map((text) => parseLog(text));
    const lines = logs.flatMap((log) => log.lines);
    const explanation = buildExplanation(lines, this.id);
    if (explanation === undefined) {
      const skipped = logs.reduce((sum, log) => sum + log.skipped, 0);
      throw new AdminError(
        `no line names ${this.id}; ${lines.length} lines read, ${skipped} of other kinds`,
        EXIT_CODES.REFUSED,
      );
    }
    return explanation;
  }

  protected override print(answer: unknown): string {
    return renderExplanation(answer as Explanation);
  }
}
