/** Options that are accepted anywhere on the command line. */
export type GlobalOptions = {
  readonly admin: string | undefined;
  readonly token: string | undefined;
  readonly isJson: boolean;
  readonly rest: readonly string[];
};

/** Parses the global options `--admin URL`, `--token TOKEN` and `--json`. */
export function parseGlobals(argv: readonly string[]): GlobalOptions {
  const start: GlobalOptions = {
    admin: undefined,
    token: undefined,
    isJson: false,
    rest: [],
  };
  return parseFrom(argv, start);
}

function parseFrom(
  argv: readonly string[],
  found: GlobalOptions,
): GlobalOptions {
  const [first, second, ...others] = argv;
  if (first === undefined) {
    return found;
  }
  const rest = argv.slice(1);
  if (first === "--json") {
    return parseFrom(rest, { ...found, isJson: true });
  }
  const [name, inline] = first.split(/=(.*)/s);
  const value = inline ?? second;
  const after = inline === undefined ? others : rest;
  if (name === "--admin" && value !== undefined) {
    return parseFrom(after, { ...found, admin: value });
  }
  if (name === "--token" && value !== undefined) {
    return parseFrom(after, { ...found, token: value });
  }
  return parseFrom(rest, { ...found, rest: [...found.rest, first] });
}
