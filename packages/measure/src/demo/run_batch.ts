import type { Got } from "got";

const POLL_MS = 50;
const ACTIVE_STATUSES = ["validating", "in_progress", "finalizing"];

/** A line of a batch's output file. */
export type OutputLine = { readonly custom_id: string };

type Batch = {
  readonly id: string;
  readonly status: string;
  readonly output_file_id: string;
};

/** Runs a batch of identical items and returns the lines of its output. */
export async function runBatch(
  api: Got,
  body: Readonly<Record<string, unknown>>,
  itemCount: number,
): Promise<readonly OutputLine[]> {
  const url = "/v1/chat/completions";
  const lines = Array.from({ length: itemCount }, (_, index) =>
    JSON.stringify({ custom_id: `item-${index}`, method: "POST", url, body }),
  );
  const form = new FormData();
  form.set("purpose", "batch");
  form.set("file", new Blob([lines.join("\n")]), "input.jsonl");
  const file = await api
    .post("v1/files", { body: form })
    .json<{ readonly id: string }>();
  const json = {
    input_file_id: file.id,
    endpoint: url,
    completion_window: "24h",
  };
  const created = await api.post("v1/batches", { json }).json<Batch>();
  const finished = await waitForEnd(api, created.id);
  const output = await api.get(`v1/files/${finished.output_file_id}/content`);
  return output.body
    .trim()
    .split("\n")
    .map((line) => JSON.parse(line) as OutputLine);
}

async function waitForEnd(api: Got, id: string): Promise<Batch> {
  const batch = await api.get(`v1/batches/${id}`).json<Batch>();
  if (!ACTIVE_STATUSES.includes(batch.status)) {
    return batch;
  }
  await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  return waitForEnd(api, id);
}
