import { Command, Option } from "clipanion";
import { AdminError } from "../client/admin_error.ts";
import { EXIT_CODES } from "../client/exit_codes.ts";
import { buildStory } from "../explain/build_story.ts";
import { parseLog } from "../explain/parse_log.ts";
import { renderStory } from "../explain/render_story.ts";
import type { Story } from "../explain/types.ts";
import { BaseCommand } from "./base_command.ts";
import { readText } from "./read_text.ts";

/** `explain ID [FILE...]`: what the logs say of a request, job or item. */
export class ExplainCommand extends BaseCommand {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    category: "Reports",
    description: "Tell the story of a request, job or item from log files",
    details:
      "Reads the JSON lines of one or many instances, from files or, without any, from standard input. No instance is asked.",
    examples: [["A request's story", "gooseberryctl explain 4f2a… logs/*.log"]],
  });
  readonly id = Option.String({ name: "ID" });
  readonly files = Option.Rest({ name: "FILE" });

  protected override async run(): Promise<Story> {
    const names = this.files.length === 0 ? ["-"] : this.files;
    const texts = await Promise.all(
      names.map((name) => readText(name, this.context.stdin)),
    );
    const logs = texts.map((text) => parseLog(text));
    const lines = logs.flatMap((log) => log.lines);
    const story = buildStory(lines, this.id);
    if (story === undefined) {
      const skipped = logs.reduce((sum, log) => sum + log.skipped, 0);
      throw new AdminError(
        `no line names ${this.id}; ${lines.length} lines read, ${skipped} of other kinds`,
        EXIT_CODES.REFUSED,
      );
    }
    return story;
  }

  protected override print(answer: unknown): string {
    return renderStory(answer as Story);
  }
}
