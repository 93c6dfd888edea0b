import type { MetadataChanges } from "@gooseberryline/core";
import type { FollowAnswer } from "./types.ts";
import { WatchMemory } from "./watch_memory.ts";

type PrefixAfter = {
  readonly prefix: string;
  /** Revision after which events are asked for. */
  readonly after: number;
};

/** Holds the memory of each of an instance's watches, for its peers. */
export class WatchHub {
  readonly #memories = new Map<string, WatchMemory>();

  /** Returns the memory of a prefix's watch. */
  get(prefix: string): WatchMemory {
    const known = this.#memories.get(prefix);
    const memory = known ?? new WatchMemory();
    if (known === undefined) {
      this.#memories.set(prefix, memory);
    }
    return memory;
  }

  /** Returns events that were seen here; undefined if there is none. */
  recall({ prefix, after }: PrefixAfter): MetadataChanges | undefined {
    return this.#memories.get(prefix)?.recall(after);
  }

  /** Waits for events at this instance's own watch. */
  follow(
    { prefix, after, waitMs }: PrefixAfter & { readonly waitMs: number },
    signal: AbortSignal,
  ): Promise<FollowAnswer> {
    return this.get(prefix).wait(after, waitMs, signal);
  }
}
