import type { PlaceQuestion } from "./types.ts";

const FIELDS = ["host", "path", "kind", "id", "prompt", "deadline"];
const KINDS = ["request", "item"] as const;
const WHOLE = /^\d{1,9}$/;

type Parsed =
  | { readonly kind: "question"; readonly question: PlaceQuestion }
  | { readonly kind: "invalid"; readonly reason: string };

/** Parses a question of where something would go; says what is wrong with it. */
export function parseQuestion(query: URLSearchParams): Parsed {
  const unknown = [...query.keys()].find((name) => !FIELDS.includes(name));
  const host = query.get("host") ?? "";
  const path = query.get("path") ?? "";
  const kind = KINDS.find((name) => name === (query.get("kind") ?? "request"));
  const deadline = query.get("deadline") ?? undefined;
  if (unknown !== undefined) {
    return { kind: "invalid", reason: `unknown field "${unknown}"` };
  }
  if (host === "") {
    return { kind: "invalid", reason: "host is missing" };
  }
  if (!path.startsWith("/")) {
    return { kind: "invalid", reason: "path has to begin with a slash" };
  }
  if (kind === undefined) {
    return { kind: "invalid", reason: `kind is one of ${KINDS.join(", ")}` };
  }
  if (deadline !== undefined && !WHOLE.test(deadline)) {
    return { kind: "invalid", reason: "deadline is a whole number of ms" };
  }
  const question = {
    host,
    path,
    kind,
    requestId: query.get("id") ?? "",
    prompt: query.get("prompt") ?? undefined,
    deadlineMs: deadline === undefined ? undefined : Number(deadline),
  };
  return { kind: "question", question };
}
