import { createHash, timingSafeEqual } from "node:crypto";
import type { Config, CustomerId, KeyId } from "@gooseberryline/core";
import type { Caller } from "./types.ts";

/** Finds the customer of a tenant key; rebuilt for each revision. */
export class KeyIndex {
  #revision = -1;
  #callers = new Map<string, Caller>();

  /** The caller of a key, or undefined for an unknown or withdrawn one. */
  find(config: Config, key: string): Caller | undefined {
    this.#rebuild(config);
    const digest = createHash("sha256").update(key).digest();
    const hash = digest.toString("hex");
    const caller = this.#callers.get(hash);
    const isSame = timingSafeEqual(digest, Buffer.from(hash, "hex"));
    return isSame ? caller : undefined;
  }

  #rebuild({ revision, document }: Config): void {
    if (revision === this.#revision) {
      return;
    }
    this.#revision = revision;
    this.#callers = new Map(
      Object.entries(document.customers).flatMap(([customerId, customer]) =>
        customer.keys.map(({ id, hash }) => [
          hash,
          {
            customerId: customerId as CustomerId,
            keyId: id as KeyId,
            customer,
          },
        ]),
      ),
    );
  }
}
