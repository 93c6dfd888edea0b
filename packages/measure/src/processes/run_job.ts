import { got } from "got";
import type { JobResult } from "./types.ts";

const POLL_MS = 500;
const OPEN = ["validating", "in_progress", "finalizing", "cancelling"];

type Batch = {
  readonly id: string;
  readonly status: string;
  readonly output_file_id: string | null;
  readonly error_file_id: string | null;
};

type Attempt = {
  /** Picks a caller listener; called again after each failure. */
  readonly pickUrl: () => string;
  readonly customer: string;
  readonly items: number;
  readonly key: string;
  readonly isOver: () => boolean;
};

/** Submits a job, resends it until it is accepted, and reads its files. */
export async function runJob(attempt: Attempt): Promise<JobResult> {
  const lines = Array.from({ length: attempt.items }, (_, index) =>
    JSON.stringify({
      custom_id: `${attempt.key}-${index}`,
      method: "POST",
      url: "/v1/chat/completions",
      body: {
        model: "pega",
        messages: [{ role: "user", content: `${attempt.key}-${index}` }],
      },
    }),
  );
  const batch = await retry(attempt, (url) => submit(url, attempt, lines));
  const ended = await waitForEnd(attempt, batch.id);
  const files = [ended.output_file_id, ended.error_file_id].filter(
    (id): id is string => id !== null,
  );
  const texts = await Promise.all(
    files.map((id) =>
      retry(attempt, (url) =>
        connect(url, attempt.customer).get(`v1/files/${id}/content`).text(),
      ),
    ),
  );
  const counts = countLines(texts.join("\n"));
  return {
    items: attempt.items,
    lines: lines.map((_, index) => counts.get(`${attempt.key}-${index}`) ?? 0),
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

async function submit(
  url: string,
  { customer, key }: Attempt,
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

async function waitForEnd(attempt: Attempt, id: string): Promise<Batch> {
  const batch = await retry(attempt, (url) =>
    connect(url, attempt.customer).get(`v1/batches/${id}`).json<Batch>(),
  );
  if (!OPEN.includes(batch.status) || attempt.isOver()) {
    return batch;
  }
  await wait();
  return waitForEnd(attempt, id);
}

/** Tries again at another instance until the run is over. */
async function retry<Value>(
  attempt: Attempt,
  call: (url: string) => Promise<Value>,
): Promise<Value> {
  try {
    return await call(attempt.pickUrl());
  } catch (error) {
    if (attempt.isOver()) {
      throw error;
    }
    await wait();
    return retry(attempt, call);
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

function wait(): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, POLL_MS);
  });
}
