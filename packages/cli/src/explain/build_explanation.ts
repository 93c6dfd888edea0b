import {
  type Explanation,
  type KnownState,
  type LogLine,
  SUBJECTS,
  type Subject,
} from "./types.ts";

/** Events that describe an instance's state, for any request, job or item. */
const STATE_EVENTS = new Set([
  "config-adopted",
  "watch-lost",
  "watch-regained",
]);
const UPSTREAM_EVENTS = new Set(["upstream-listed", "upstream-removed"]);
/** Events of a job's ownership, which concern each of its items. */
const OWNER_EVENTS = new Set([
  "job-accepted",
  "job-claimed",
  "job-lost-to-another",
  "job-ended-by-caller",
]);

/** Builds the explanation of an ID; undefined if no log line contains it. */
export function buildExplanation(
  lines: readonly LogLine[],
  id: string,
): Explanation | undefined {
  const sortedLines = [...lines].sort((a, b) => a.atMs - b.atMs);
  const ownLines = sortedLines.filter(
    (line) => findSubject(line, id) !== undefined,
  );
  const [first] = ownLines;
  const subject = first && findSubject(first, id);
  if (first === undefined || subject === undefined) {
    return undefined;
  }
  const ownerLines =
    subject === SUBJECTS.itemId ? listOwnerLines(sortedLines, ownLines) : [];
  const steps = sortedLines.filter(
    (line) => ownLines.includes(line) || ownerLines.includes(line),
  );
  return {
    id,
    subject,
    steps,
    inputs: listKnownStates(sortedLines, ownLines),
    outcome: describeOutcome(ownLines, subject),
  };
}

function findSubject({ fields }: LogLine, id: string): Subject | undefined {
  // The most specific ID comes first, as item lines contain the job's ID too.
  const { itemId, jobId, requestId } = SUBJECTS;
  const names = { itemId, jobId, requestId };
  const found = Object.entries(names).find(([name]) => fields[name] === id);
  return found?.[1];
}

function listOwnerLines(
  lines: readonly LogLine[],
  ownLines: readonly LogLine[],
): readonly LogLine[] {
  const jobIds = new Set(ownLines.map(({ fields }) => fields.jobId));
  return lines.filter(
    ({ event, fields }) => OWNER_EVENTS.has(event) && jobIds.has(fields.jobId),
  );
}

/** Lists the latest state that each instance knew when its work started. */
function listKnownStates(
  lines: readonly LogLine[],
  ownLines: readonly LogLine[],
): readonly KnownState[] {
  const instances = [...new Set(ownLines.map(({ instance }) => instance))];
  const upstreams = new Set(ownLines.flatMap((line) => listUpstreams(line)));
  return instances.flatMap((instance) => {
    const startMs = Math.min(
      ...ownLines
        .filter((line) => line.instance === instance)
        .map((line) => computeStartMs(line)),
    );
    const latestLines = new Map<string, LogLine>();
    lines
      .filter((line) => line.instance === instance && line.atMs <= startMs)
      .filter(
        (line) =>
          STATE_EVENTS.has(line.event) ||
          (UPSTREAM_EVENTS.has(line.event) &&
            upstreams.has(String(line.fields.upstream))),
      )
      .forEach((line) => {
        latestLines.set(getStateKey(line), line);
      });
    return [...latestLines.values()].map((line) => ({
      line,
      ageMs: Math.round(startMs - line.atMs),
    }));
  });
}

function getStateKey({ event, fields }: LogLine): string {
  return `${event === "config-adopted" ? event : ""} ${fields.prefix ?? ""} ${fields.upstream ?? ""}`;
}

function listUpstreams({ fields }: LogLine): readonly string[] {
  const { upstream, upstreams } = fields;
  return [upstream, ...String(upstreams ?? "").split(" ")]
    .filter((id) => typeof id === "string" && id !== "")
    .map(String);
}

/** Computes when the work that a line reports started, in Unix ms. */
function computeStartMs({ atMs, fields }: LogLine): number {
  const durationMs = fields.tookMs ?? fields.ranMs;
  return typeof durationMs === "number" ? atMs - durationMs : atMs;
}

function describeOutcome(
  ownLines: readonly LogLine[],
  subject: Subject,
): string {
  switch (subject) {
    case SUBJECTS.requestId:
      return describeRequest(ownLines);
    case SUBJECTS.jobId:
      return describeJob(ownLines);
    case SUBJECTS.itemId:
      return describeItem(ownLines);
  }
}

function describeRequest(ownLines: readonly LogLine[]): string {
  const end = ownLines.findLast(({ event }) => event === "request-ended");
  if (end === undefined) {
    return "not over by the end of these logs";
  }
  const { outcome, status, reason, tookMs } = end.fields;
  const reasonText = reason === undefined ? "" : `: ${reason}`;
  const statusText = status === undefined ? "" : ` with ${status}`;
  return `${outcome}${statusText} after ${tookMs} ms${reasonText}`;
}

function describeJob(ownLines: readonly LogLine[]): string {
  if (ownLines.some(({ event }) => event === "job-ended-by-caller")) {
    return "ended by its caller";
  }
  const refused = ownLines.findLast(({ event }) => event === "job-over-limit");
  const isAccepted = ownLines.some(({ event }) => event === "job-accepted");
  if (refused !== undefined && !isAccepted) {
    return describeRefusedJob(refused);
  }
  const listed = ownLines.findLast(({ event }) => event === "results-listed");
  const errored = ownLines.filter(
    ({ event }) => event === "item-errored",
  ).length;
  return listed === undefined
    ? "no result is listed by the end of these logs"
    : `${listed.fields.listed} of ${listed.fields.total} results listed, ${errored} errored`;
}

function describeRefusedJob({ fields }: LogLine): string {
  const { customer, tokens, limit, waiting, ageMs } = fields;
  return waiting === undefined
    ? `refused: its ${tokens} tokens exceed the limit of ${limit} by themselves`
    : `refused: ${tokens} tokens beside ${waiting} unfinished ones of customer ${customer}, counted ${ageMs} ms before, exceed the limit of ${limit}`;
}

function describeItem(ownLines: readonly LogLine[]): string {
  const errored = ownLines.find(({ event }) => event === "item-errored");
  if (errored !== undefined) {
    return `errored: ${errored.fields.reason}`;
  }
  const runs = ownLines.filter(({ event }) => event === "item-run-ended");
  const isDone = runs.some(({ fields }) => fields.step === "list-completed");
  return isDone
    ? `completed in run ${runs.length}`
    : `not done after ${runs.length} runs`;
}
