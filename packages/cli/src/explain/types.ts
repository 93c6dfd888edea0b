/** Types of the explanation of a request, job or item from log lines. */

/** A parsed line of an instance's log. */
export type LogLine = {
  readonly event: string;
  /** Time by the instance's clock, in ISO 8601. */
  readonly at: string;
  readonly atMs: number;
  readonly instance: string;
  readonly fields: Readonly<Record<string, unknown>>;
};

/** The parsed lines of a log. */
export type ParsedLog = {
  readonly lines: readonly LogLine[];
  /** Number of lines that are not log lines of an instance. */
  readonly skipped: number;
};

export const SUBJECTS = {
  requestId: "request",
  jobId: "job",
  itemId: "item",
} as const;

export type Subject = (typeof SUBJECTS)[keyof typeof SUBJECTS];

/** State that an instance knew when it started work on the subject. */
export type KnownState = {
  readonly line: LogLine;
  /** Age of the state at that time, in ms. */
  readonly ageMs: number;
};

export type Explanation = {
  readonly id: string;
  readonly subject: Subject;
  readonly steps: readonly LogLine[];
  readonly inputs: readonly KnownState[];
  readonly outcome: string;
};
