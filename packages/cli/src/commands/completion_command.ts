import { Command, Option } from "clipanion";
import { EXIT_CODES } from "../client/exit_codes.ts";
import type { ToolContext } from "./types.ts";

/** `completion bash|zsh`: prints a completion script for the shell. */
export class CompletionCommand extends Command<ToolContext> {
  static override paths = [["completion"]];
  static override usage = Command.Usage({
    category: "Shell",
    description: "Print a completion script for bash or zsh",
    examples: [["Load the script", "source <(gooseberryctl completion bash)"]],
  });
  readonly shell = Option.String({ name: "SHELL" });

  override execute(): Promise<number> {
    if (this.shell !== "bash" && this.shell !== "zsh") {
      this.context.stderr.write("gooseberryctl: SHELL must be bash or zsh\n");
      return Promise.resolve(EXIT_CODES.USAGE);
    }
    const paths = this.cli
      .definitions()
      .map(({ path }) => path.split(" ").slice(1).join(" "));
    const zsh = "autoload -U +X bashcompinit && bashcompinit\n";
    const prefix = this.shell === "zsh" ? zsh : "";
    this.context.stdout.write(prefix + renderScript(paths));
    return Promise.resolve(EXIT_CODES.OK);
  }
}

function renderScript(paths: readonly string[]): string {
  const cases = new Map<string, string[]>();
  paths.forEach((path) => {
    const [first = "", second] = path.split(" ");
    const seconds = cases.get(first) ?? [];
    cases.set(first, second === undefined ? seconds : [...seconds, second]);
  });
  const branches = [...cases.entries()].map(
    ([first, seconds]) =>
      `    ${first}) words="${[...new Set(seconds)].join(" ")}" ;;`,
  );
  return [
    "_gooseberryctl() {",
    // biome-ignore lint/suspicious/noTemplateCurlyInString: shell syntax
    '  local current="${COMP_WORDS[COMP_CWORD]}" words=""',
    '  if [ "$COMP_CWORD" -eq 1 ]; then',
    `    words="${[...cases.keys()].join(" ")}"`,
    // biome-ignore lint/suspicious/noTemplateCurlyInString: shell syntax
    '  else case "${COMP_WORDS[1]}" in',
    ...branches,
    "  esac; fi",
    '  COMPREPLY=($(compgen -W "$words --json --admin --help" -- "$current"))',
    "}",
    "complete -F _gooseberryctl gooseberryctl",
    "",
  ].join("\n");
}
