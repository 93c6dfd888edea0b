import { createHash, timingSafeEqual } from "node:crypto";
import type { Config, CustomerId, KeyId } from "@gooseberryline/core";
import type { Caller } from "./types.ts";

const BUCKET_CHARS = 4;

type KeyEntry = { readonly hash: Buffer; readonly caller: Caller };

/**
 * Index from tenant keys to customers, rebuilt for each configuration
 * revision. Keys are bucketed by a prefix of their hash; within a bucket the
 * full hash is compared in constant time.
 */
export class KeyIndex {
  #revision = -1;
  #entries: ReadonlyMap<string, readonly KeyEntry[]> = new Map();

  /**
   * Returns the caller of a key, or undefined if the key is unknown or revoked.
   */
  find(config: Config, key: string): Caller | undefined {
    this.#rebuild(config);
    const digest = createHash("sha256").update(key).digest();
    const bucket = digest.toString("hex").slice(0, BUCKET_CHARS);
    const entries = this.#entries.get(bucket) ?? [];
    return entries
      .filter(({ hash }) => timingSafeEqual(hash, digest))
      .map(({ caller }) => caller)
      .at(0);
  }

  #rebuild({ revision, document }: Config): void {
    if (revision === this.#revision) {
      return;
    }
    this.#revision = revision;
    const keyEntries = Object.entries(document.customers).flatMap(
      ([customerId, customer]) =>
        customer.keys.map(({ id, hash }) => ({
          hash,
          caller: {
            customerId: customerId as CustomerId,
            keyId: id as KeyId,
            customer,
          },
        })),
    );
    const entries = new Map<string, KeyEntry[]>();
    keyEntries.forEach(({ hash, caller }) => {
      const bucket = hash.slice(0, BUCKET_CHARS);
      const entry = { hash: Buffer.from(hash, "hex"), caller };
      entries.set(bucket, [...(entries.get(bucket) ?? []), entry]);
    });
    this.#entries = entries;
  }
}
