import {
  type KnownInput,
  type LogLine,
  type Story,
  SUBJECTS,
  type Subject,
} from "./types.ts";

/** Events that say what an instance knew, whatever it dealt with. */
const STATE_EVENTS = new Set([
  "config-adopted",
  "watch-lost",
  "watch-regained",
]);
const UPSTREAM_EVENTS = new Set(["upstream-listed", "upstream-removed"]);
/** Events of a job that matter to each of its items. */
const OWNER_EVENTS = new Set([
  "job-accepted",
  "job-claimed",
  "job-lost-to-another",
  "job-ended-by-caller",
]);

/** Builds the story of an id; undefined where no line bears it. */
export function buildStory(
  lines: readonly LogLine[],
  id: string,
): Story | undefined {
  const ordered = [...lines].sort((a, b) => a.atMs - b.atMs);
  const own = ordered.filter((line) => findSubject(line, id) !== undefined);
  const [first] = own;
  const subject = first && findSubject(first, id);
  if (first === undefined || subject === undefined) {
    return undefined;
  }
  const owners = subject === SUBJECTS.itemId ? listOwners(ordered, own) : [];
  const steps = ordered.filter(
    (line) => own.includes(line) || owners.includes(line),
  );
  return {
    id,
    subject,
    steps,
    inputs: listInputs(ordered, own),
    outcome: describeOutcome(own, subject),
  };
}

function findSubject({ fields }: LogLine, id: string): Subject | undefined {
  // The narrowest id first: an item's lines bear its job's as well.
  const { itemId, jobId, requestId } = SUBJECTS;
  const names = { itemId, jobId, requestId };
  const found = Object.entries(names).find(([name]) => fields[name] === id);
  return found?.[1];
}

function listOwners(
  lines: readonly LogLine[],
  own: readonly LogLine[],
): readonly LogLine[] {
  const jobIds = new Set(own.map(({ fields }) => fields.jobId));
  return lines.filter(
    ({ event, fields }) => OWNER_EVENTS.has(event) && jobIds.has(fields.jobId),
  );
}

/** The last word on each matter that an instance had before it began. */
function listInputs(
  lines: readonly LogLine[],
  own: readonly LogLine[],
): readonly KnownInput[] {
  const instances = [...new Set(own.map(({ instance }) => instance))];
  const upstreams = new Set(own.flatMap((line) => listUpstreams(line)));
  return instances.flatMap((instance) => {
    const beginMs = Math.min(
      ...own
        .filter((line) => line.instance === instance)
        .map((line) => countBeginMs(line)),
    );
    const last = new Map<string, LogLine>();
    lines
      .filter((line) => line.instance === instance && line.atMs <= beginMs)
      .filter(
        (line) =>
          STATE_EVENTS.has(line.event) ||
          (UPSTREAM_EVENTS.has(line.event) &&
            upstreams.has(String(line.fields.upstream))),
      )
      .forEach((line) => {
        last.set(nameMatter(line), line);
      });
    return [...last.values()].map((line) => ({
      line,
      ageMs: Math.round(beginMs - line.atMs),
    }));
  });
}

function nameMatter({ event, fields }: LogLine): string {
  return `${event === "config-adopted" ? event : ""} ${fields.prefix ?? ""} ${fields.upstream ?? ""}`;
}

function listUpstreams({ fields }: LogLine): readonly string[] {
  const { upstream, upstreams } = fields;
  return [upstream, ...String(upstreams ?? "").split(" ")]
    .filter((id) => typeof id === "string" && id !== "")
    .map(String);
}

/** When the work that a line reports on began, Unix ms. */
function countBeginMs({ atMs, fields }: LogLine): number {
  const spent = fields.tookMs ?? fields.ranMs;
  return typeof spent === "number" ? atMs - spent : atMs;
}

function describeOutcome(own: readonly LogLine[], subject: Subject): string {
  switch (subject) {
    case SUBJECTS.requestId:
      return describeRequest(own);
    case SUBJECTS.jobId:
      return describeJob(own);
    case SUBJECTS.itemId:
      return describeItem(own);
  }
}

function describeRequest(own: readonly LogLine[]): string {
  const end = own.findLast(({ event }) => event === "request-ended");
  if (end === undefined) {
    return "not over by the end of these logs";
  }
  const { outcome, status, reason, tookMs } = end.fields;
  const why = reason === undefined ? "" : `: ${reason}`;
  const code = status === undefined ? "" : ` with ${status}`;
  return `${outcome}${code} after ${tookMs} ms${why}`;
}

function describeJob(own: readonly LogLine[]): string {
  if (own.some(({ event }) => event === "job-ended-by-caller")) {
    return "ended by its caller";
  }
  const listed = own.findLast(({ event }) => event === "results-listed");
  const errored = own.filter(({ event }) => event === "item-errored").length;
  return listed === undefined
    ? "no result is listed by the end of these logs"
    : `${listed.fields.listed} of ${listed.fields.total} results listed, ${errored} errored`;
}

function describeItem(own: readonly LogLine[]): string {
  const errored = own.find(({ event }) => event === "item-errored");
  if (errored !== undefined) {
    return `errored: ${errored.fields.reason}`;
  }
  const runs = own.filter(({ event }) => event === "item-run-ended");
  const isDone = runs.some(({ fields }) => fields.step === "list-completed");
  return isDone
    ? `completed in run ${runs.length}`
    : `not done after ${runs.length} runs`;
}
