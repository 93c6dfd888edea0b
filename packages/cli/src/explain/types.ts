/** The story of one request, job or item, told from log lines. */

/** A line of an instance's log. */
export type LogLine = {
  readonly event: string;
  /** ISO 8601, by the clock of the instance. */
  readonly at: string;
  readonly atMs: number;
  readonly instance: string;
  readonly fields: Readonly<Record<string, unknown>>;
};

/** Lines of one or more logs. */
export type ParsedLog = {
  readonly lines: readonly LogLine[];
  /** Lines that are no log lines of an instance. */
  readonly skipped: number;
};

export const SUBJECTS = {
  requestId: "request",
  jobId: "job",
  itemId: "item",
} as const;

export type Subject = (typeof SUBJECTS)[keyof typeof SUBJECTS];

/** What an instance knew when it first dealt with the subject. */
export type KnownInput = {
  readonly line: LogLine;
  /** Its age by then, in ms. */
  readonly ageMs: number;
};

export type Story = {
  readonly id: string;
  readonly subject: Subject;
  readonly steps: readonly LogLine[];
  readonly inputs: readonly KnownInput[];
  readonly outcome: string;
};
