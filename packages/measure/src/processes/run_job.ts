import { got } from "got";
import type { JobResult } from "./types.ts";

const POLL_MS = 500;
const ACTIVE_STATUSES = [
  "validating",
  "in_progress",
  "finalizing",
  "cancelling",
];

type Batch = {
  readonly id: string;
  readonly status: string;
  readonly output_file_id: string | null;
  readonly error_file_id: string | null;
};

type JobOptions = {
  /** Picks a caller listener; called again after each failure. */
  readonly pickUrl: () => string;
  readonly customer: string;
  readonly items: number;
  readonly key: string;
  readonly isPastDeadline: () => boolean;
};

/** Submits a job, with retries until it is accepted, and reads its results. */
export async function runJob(options: JobOptions): Promise<JobResult> {
  const lines = Array.from({ length: options.items }, (_, index) =>
    JSON.stringify({
      custom_id: `${options.key}-${index}`,
      method: "POST",
      url: "/v1/chat/completions",
      body: {
        model: "pega",
        messages: [{ role: "user", content: `${options.key}-${index}` }],
      },
    }),
  );
  const batch = await retry(options, (url) => createBatch(url, options, lines));
  const ended = await waitForEnd(options, batch.id);
  const files = [ended.output_file_id, ended.error_file_id].filter(
    (id): id is string => id !== null,
  );
  const texts = await Promise.all(
    files.map((id) =>
      retry(options, (url) =>
        connect(url, options.customer).get(`v1/files/${id}/content`).text(),
      ),
    ),
  );
  const counts = countLines(texts.join("\n"));
  return {
    items: options.items,
    lines: lines.map((_, index) => counts.get(`${options.key}-${index}`) ?? 0),
    status: ended.status,
  };
}

function connect(url: string, customer: string) {
  return got.extend({
    prefixUrl: url,
    headers: { authorization: `Bearer key-${customer}` },
    retry: { limit: 0 },
    timeout: { request: 20_000 },
  });
}

async function createBatch(
  url: string,
  { customer, key }: JobOptions,
  lines: readonly string[],
): Promise<Batch> {
  const api = connect(url, customer);
  const form = new FormData();
  form.set("purpose", "batch");
  form.set("file", new Blob([lines.join("\n")]), "input.jsonl");
  const file = await api
    .post("v1/files", { body: form })
    .json<{ readonly id: string }>();
  const json = {
    input_file_id: file.id,
    endpoint: "/v1/chat/completions",
    completion_window: "24h",
  };
  const headers = { "idempotency-key": key };
  return api.post("v1/batches", { json, headers }).json<Batch>();
}

async function waitForEnd(options: JobOptions, id: string): Promise<Batch> {
  const batch = await retry(options, (url) =>
    connect(url, options.customer).get(`v1/batches/${id}`).json<Batch>(),
  );
  if (!ACTIVE_STATUSES.includes(batch.status) || options.isPastDeadline()) {
    return batch;
  }
  await waitForNextPoll();
  return waitForEnd(options, id);
}

/** Retries a call at the next picked instance until the deadline of the run. */
async function retry<Value>(
  options: JobOptions,
  call: (url: string) => Promise<Value>,
): Promise<Value> {
  try {
    return await call(options.pickUrl());
  } catch (error) {
    if (options.isPastDeadline()) {
      throw error;
    }
    await waitForNextPoll();
    return retry(options, call);
  }
}

function countLines(text: string): ReadonlyMap<string, number> {
  return text
    .split("\n")
    .filter((line) => line !== "")
    .map((line) => (JSON.parse(line) as { custom_id: string }).custom_id)
    .reduce(
      (counts, id) => counts.set(id, (counts.get(id) ?? 0) + 1),
      new Map<string, number>(),
    );
}

function waitForNextPoll(): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, POLL_MS);
  });
}
