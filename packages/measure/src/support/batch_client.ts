import type { Got } from "got";

const CHAT_PATH = "/v1/chat/completions";

/** A batch object of the caller API. */
export type BatchView = {
  readonly id: string;
  readonly status: string;
  readonly output_file_id: string | null;
  readonly error_file_id: string | null;
  readonly request_counts: {
    readonly total: number;
    readonly completed: number;
    readonly failed: number;
  };
};

/** A client of the files and batches API. */
export class BatchClient {
  readonly #api: Got;

  constructor(api: Got) {
    this.#api = api.extend({ throwHttpErrors: false });
  }

  /** Returns the input file of a batch whose chat items are identical. */
  static writeInput(itemCount: number, body: object): string {
    return Array.from({ length: itemCount }, (_, index) =>
      JSON.stringify({
        custom_id: `item-${index}`,
        method: "POST",
        url: CHAT_PATH,
        body,
      }),
    ).join("\n");
  }

  async upload(content: string): Promise<string> {
    const form = new FormData();
    form.set("purpose", "batch");
    form.set("file", new Blob([content]), "input.jsonl");
    const { body } = await this.#api.post("v1/files", { body: form });
    return (JSON.parse(body) as { readonly id: string }).id;
  }

  /** Creates a batch; the response may be an error. */
  async create(
    fileId: string,
    {
      key,
      ...fields
    }: { readonly key?: string; readonly [field: string]: unknown } = {},
  ): Promise<{ readonly status: number; readonly body: BatchView }> {
    const { statusCode, body } = await this.#api.post("v1/batches", {
      json: { input_file_id: fileId, endpoint: CHAT_PATH, ...fields },
      headers: key === undefined ? {} : { "idempotency-key": key },
    });
    return { status: statusCode, body: JSON.parse(body) as BatchView };
  }

  async get(id: string): Promise<BatchView> {
    return this.#api.get(`v1/batches/${id}`).json<BatchView>();
  }

  async cancel(id: string): Promise<BatchView> {
    return this.#api.post(`v1/batches/${id}/cancel`).json<BatchView>();
  }

  /** Returns the sorted `custom_id`s of a file's lines. */
  async readIds(fileId: string | null): Promise<readonly string[]> {
    const { body } = await this.#api.get(`v1/files/${fileId}/content`);
    return body
      .split("\n")
      .filter((line) => line !== "")
      .map((line) => (JSON.parse(line) as { custom_id: string }).custom_id)
      .toSorted();
  }
}
