import { LOG_EVENTS } from "@gooseberryline/core";
import type { KnownInput, LogLine, Story } from "./types.ts";

const TEXTS: Readonly<Record<string, { readonly text: string }>> = LOG_EVENTS;

/** Renders a story for people: what was known, what was done, how it ended. */
export function renderStory(story: Story): string {
  const { id, subject, inputs, steps, outcome } = story;
  const known = inputs.map((input) => renderInput(input));
  return [
    `${subject} ${id}: ${outcome}`,
    "",
    ...(known.length > 0 ? ["Known when it began:", ...known, ""] : []),
    "In order, by each instance's own clock:",
    ...steps.map((line) => renderStep(line)),
    "",
  ].join("\n");
}

function renderInput({ line, ageMs }: KnownInput): string {
  const { instance, event, fields } = line;
  return `  ${instance}  ${event}${renderFields(fields)}, ${ageMs} ms before`;
}

function renderStep({ at, instance, event, fields }: LogLine): string {
  const text = TEXTS[event]?.text ?? "An event that this version does not know";
  return `  ${at}  ${instance}  ${event}${renderFields(fields)}\n      ${text}`;
}

function renderFields(fields: Readonly<Record<string, unknown>>): string {
  return Object.entries(fields)
    .map(([name, value]) => ` ${name}=${String(value)}`)
    .join("");
}
