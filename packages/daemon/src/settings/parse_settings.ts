import {
  findNodeAtLocation,
  type Node,
  type ParseError,
  parse,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import { SETTINGS_SCHEMA } from "./settings_schema.ts";
import type { Settings, SettingsFault } from "./types.ts";

/** The validated settings, or all faults with their positions. */
export type ParsedSettings =
  | { readonly kind: "valid"; readonly settings: Settings }
  | { readonly kind: "invalid"; readonly faults: readonly SettingsFault[] };

/** Parses JSON with comments and validates it against the settings schema. */
export function parseSettings(text: string): ParsedSettings {
  const errors: ParseError[] = [];
  const options = { allowTrailingComma: true };
  const value: unknown = parse(text, errors, options);
  if (errors.length > 0) {
    const faults = errors.map(({ error, offset }) => ({
      ...locateOffset(text, offset),
      path: "",
      message: printParseErrorCode(error),
    }));
    return { kind: "invalid", faults };
  }
  const checked = SETTINGS_SCHEMA.safeParse(value);
  if (checked.success) {
    return { kind: "valid", settings: checked.data };
  }
  const tree = parseTree(text, [], options);
  const faults = checked.error.issues.map((issue) => {
    const unknownKey = "keys" in issue ? issue.keys.at(0) : undefined;
    const keys = issue.path.map(convertToSegment);
    const path = unknownKey === undefined ? keys : [...keys, unknownKey];
    return {
      ...locateOffset(text, findOffset(tree, path)),
      path: path.join("."),
      message: issue.message,
    };
  });
  return { kind: "invalid", faults };
}

function convertToSegment(key: PropertyKey): string | number {
  return typeof key === "number" ? key : String(key);
}

function findOffset(
  tree: Node | undefined,
  path: readonly (string | number)[],
): number {
  if (tree === undefined) {
    return 0;
  }
  const node = findNodeAtLocation(tree, [...path]);
  if (node !== undefined) {
    return node.offset;
  }
  return path.length === 0 ? tree.offset : findOffset(tree, path.slice(0, -1));
}

function locateOffset(
  text: string,
  offset: number,
): { readonly line: number; readonly column: number } {
  const lines = text.slice(0, offset).split("\n");
  return { line: lines.length, column: (lines.at(-1)?.length ?? 0) + 1 };
}
