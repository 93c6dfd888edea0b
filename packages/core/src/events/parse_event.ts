import type { StreamEvent } from "./types.ts";

const LINE_END = /\r?\n/;

/** Parses one server-sent event; unknown fields are ignored. */
export function parseEvent(bytes: Buffer): StreamEvent {
  const fields = bytes
    .toString("utf8")
    .split(LINE_END)
    .filter((line) => line !== "" && !line.startsWith(":"))
    .map(parseField);
  const data = fields.filter(({ name }) => name === "data");
  const id = fields.findLast(({ name }) => name === "id")?.value;
  return {
    bytes,
    id: id !== undefined && /^\d+$/.test(id) ? Number(id) : undefined,
    data: data.length === 0 ? undefined : data.map(getValue).join("\n"),
    name: fields.findLast(({ name }) => name === "event")?.value,
  };
}

type Field = { readonly name: string; readonly value: string };

function parseField(line: string): Field {
  const colon = line.indexOf(":");
  return colon === -1
    ? { name: line, value: "" }
    : {
        name: line.slice(0, colon),
        value: line.slice(colon + 1).replace(/^ /, ""),
      };
}

function getValue({ value }: Field): string {
  return value;
}
