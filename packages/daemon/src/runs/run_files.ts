import { appendFile, mkdir, readdir, readFile, rm } from "node:fs/promises";
import { join } from "node:path";
import type { RunRecord } from "@gooseberryline/core";
import type { RunQuery } from "../admin/types.ts";
import { isMatchingRun } from "./is_matching_run.ts";

const MAX_FILE_BYTES = 8_388_608;
const MAX_FILES = 64;
const NAME = /^runs-(\d{10})\.jsonl$/;
const NUMBER_DIGITS = 10;

/** Limits on the size and the number of run record files. */
export type RunFileLimits = {
  readonly fileBytes: number;
  readonly files: number;
};

/**
 * Stores run records as JSON Lines files in a folder; removes the oldest files
 * when their number exceeds the limit.
 */
export class RunFiles {
  readonly #folder: string;
  readonly #limits: RunFileLimits;
  #number: number | undefined;
  #bytes = 0;
  #written: Promise<void> = Promise.resolve();

  constructor(
    folder: string,
    limits: RunFileLimits = { fileBytes: MAX_FILE_BYTES, files: MAX_FILES },
  ) {
    this.#folder = folder;
    this.#limits = limits;
  }

  /** Appends records and resolves once they are written. */
  append(runs: readonly RunRecord[]): Promise<void> {
    const text = runs.map((run) => `${JSON.stringify(run)}\n`).join("");
    const next = this.#written.then(() => this.#write(text));
    this.#written = next.catch(() => undefined);
    return next;
  }

  /** Lists the latest records that match the query, newest first. */
  async list(query: RunQuery): Promise<readonly RunRecord[]> {
    const numbers = await this.#listNumbers();
    return this.#collect(numbers.toReversed(), query);
  }

  async #collect(
    [number, ...older]: readonly number[],
    query: RunQuery,
  ): Promise<readonly RunRecord[]> {
    if (number === undefined || query.limit <= 0) {
      return [];
    }
    const text = await readFile(this.#path(number), "utf8").catch(() => "");
    const found = text
      .split("\n")
      .filter((line) => line.includes(query.workId ?? ""))
      .flatMap(parseRun)
      .filter((run) => isMatchingRun(run, query))
      .toReversed()
      .slice(0, query.limit);
    const limit = query.limit - found.length;
    return [...found, ...(await this.#collect(older, { ...query, limit }))];
  }

  async #write(text: string): Promise<void> {
    const number = this.#number ?? (await this.#openNextFile());
    await appendFile(this.#path(number), text);
    this.#bytes += Buffer.byteLength(text);
    if (this.#bytes >= this.#limits.fileBytes) {
      this.#number = undefined;
    }
  }

  /**
   * Starts a new file. A restart does so too, since the last line of the
   * previous file may be truncated.
   */
  async #openNextFile(): Promise<number> {
    await mkdir(this.#folder, { recursive: true });
    const numbers = await this.#listNumbers();
    const number = (numbers.at(-1) ?? 0) + 1;
    const old = numbers.slice(
      0,
      Math.max(0, numbers.length + 1 - this.#limits.files),
    );
    await Promise.all(old.map((one) => rm(this.#path(one), { force: true })));
    this.#number = number;
    this.#bytes = 0;
    return number;
  }

  async #listNumbers(): Promise<readonly number[]> {
    const names = await readdir(this.#folder).catch(() => []);
    return names
      .flatMap((name) => NAME.exec(name)?.slice(1, 2) ?? [])
      .map(Number)
      .toSorted((a, b) => a - b);
  }

  #path(number: number): string {
    const digits = String(number).padStart(NUMBER_DIGITS, "0");
    return join(this.#folder, `runs-${digits}.jsonl`);
  }
}

function parseRun(line: string): readonly RunRecord[] {
  try {
    return line === "" ? [] : [JSON.parse(line) as RunRecord];
  } catch {
    return [];
  }
}
