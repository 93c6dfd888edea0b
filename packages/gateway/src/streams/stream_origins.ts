import type { MetadataStore, StreamOrigin } from "@gooseberryline/core";
import { waitMs } from "../wait_ms.ts";
import { STREAM_RECORDS } from "./constants.ts";
import { originRecord } from "./origin_record.ts";
import type { OriginWriter } from "./origin_writer.ts";
import type { SoleVersionCheck } from "./sole_version_check.ts";
import type { VersionKeeper } from "./version_keeper.ts";

type StreamOriginsParts = {
  readonly store: MetadataStore;
  readonly versions: Pick<VersionKeeper, "findSoleVersion">;
  readonly check: Pick<SoleVersionCheck, "find">;
  readonly writer: Pick<OriginWriter, "add">;
};

/** A stream that a caller takes up. */
type TakenUpStream = {
  readonly service: string;
  readonly customer: string;
  /** Id of the request that brought its first event, as the caller says. */
  readonly resumes: string | undefined;
};

/**
 * Knows which version began a stream, for this instance's streams and for those
 * that callers take up after their instances have failed. A stream is written to
 * the store only while streams of several versions of its service may live.
 */
export class StreamOrigins {
  readonly #parts: StreamOriginsParts;
  /** Streams that this instance relays, by the keys of their records. */
  readonly #open = new Map<string, StreamOrigin>();

  constructor(parts: StreamOriginsParts) {
    this.#parts = parts;
  }

  /** Records that a stream has begun; returns a function to call at its end. */
  recordBegun(
    customer: string,
    requestId: string,
    origin: StreamOrigin,
  ): () => void {
    const { versions, writer } = this.#parts;
    const key = originRecord.buildKey(customer, requestId);
    this.#open.set(key, origin);
    if (versions.findSoleVersion(origin.service) === undefined) {
      writer.add(key, origin);
    }
    return () => this.#open.delete(key);
  }

  /** Writes the open streams of a service that has several versions from now on. */
  recordMixed(service: string): void {
    this.#open.forEach((origin, key) => {
      if (origin.service === service) {
        this.#parts.writer.add(key, origin);
      }
    });
  }

  /** Finds what began a stream; undefined if that is not known for certain. */
  async find(stream: TakenUpStream): Promise<StreamOrigin | undefined> {
    const { service, customer, resumes } = stream;
    if (resumes === undefined) {
      return this.#findSole(service);
    }
    const key = originRecord.buildKey(customer, resumes);
    const first = await this.#read(key, service);
    if (first.kind !== "missing") {
      return first.origin;
    }
    const sole = await this.#findSole(service);
    if (sole !== undefined) {
      return sole;
    }
    await waitMs(STREAM_RECORDS.LATE_RECORD_MS);
    return (await this.#read(key, service)).origin;
  }

  /** The caller waits, so a late answer is none. */
  async #findSole(service: string): Promise<StreamOrigin | undefined> {
    const version = await Promise.race([
      this.#parts.check.find(service),
      waitMs(STREAM_RECORDS.READ_TIMEOUT_MS),
    ]);
    return version === undefined ? undefined : { service, version };
  }

  async #read(key: string, service: string) {
    const open = this.#open.get(key);
    const read = open === undefined ? await this.#readRecord(key) : undefined;
    if (read === "unread") {
      return { kind: read, origin: undefined } as const;
    }
    const origin = open ?? (read && originRecord.decode(read));
    if (origin === undefined) {
      return { kind: "missing", origin } as const;
    }
    // The route may lead to another service by now, which did not begin it.
    return origin.service === service
      ? ({ kind: "known", origin } as const)
      : ({ kind: "elsewhere", origin: undefined } as const);
  }

  /** Reads a record; the caller waits, so a late answer is none. */
  async #readRecord(key: string): Promise<Buffer | undefined | "unread"> {
    const read = await Promise.race([
      this.#parts.store.readKey(key),
      waitMs(STREAM_RECORDS.READ_TIMEOUT_MS),
    ]);
    return read?.kind === "read" ? read.item?.value : "unread";
  }
}
