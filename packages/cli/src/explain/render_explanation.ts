import { LOG_EVENTS } from "@gooseberryline/core";
import type { Explanation, KnownState, LogLine } from "./types.ts";

const EVENT_TEXTS: Readonly<Record<string, { readonly text: string }>> =
  LOG_EVENTS;

/** Renders an explanation as text: outcome, known state and steps. */
export function renderExplanation(explanation: Explanation): string {
  const { id, subject, inputs, steps, outcome } = explanation;
  const known = inputs.map((input) => renderInput(input));
  return [
    `${subject} ${id}: ${outcome}`,
    "",
    ...(known.length > 0 ? ["Known at the start:", ...known, ""] : []),
    "Steps in order of the instances' clocks:",
    ...steps.map((line) => renderStep(line)),
    "",
  ].join("\n");
}

function renderInput({ line, ageMs }: KnownState): string {
  const { instance, event, fields } = line;
  return `  ${instance}  ${event}${renderFields(fields)}, ${ageMs} ms before`;
}

function renderStep({ at, instance, event, fields }: LogLine): string {
  const text =
    EVENT_TEXTS[event]?.text ?? "Event unknown to this version of the tool";
  return `  ${at}  ${instance}  ${event}${renderFields(fields)}\n      ${text}`;
}

function renderFields(fields: Readonly<Record<string, unknown>>): string {
  return Object.entries(fields)
    .map(([name, value]) => ` ${name}=${String(value)}`)
    .join("");
}
