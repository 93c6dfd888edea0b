import { type ConfigDocument, checkConfig } from "@gooseberryline/core";
import { AdminRefusal } from "./admin_refusal.ts";
import type { ConfigStore } from "./config_store.ts";

const MAX_ATTEMPTS = 8;

/**
 * Applies a change to the current configuration. Operators may write
 * concurrently, so a write conflict is retried on the newer document.
 */
export async function changeConfig(
  store: ConfigStore,
  change: (document: ConfigDocument) => ConfigDocument,
  attemptsLeft = MAX_ATTEMPTS,
): Promise<number> {
  const { revision, document } = await store.read();
  const current = requireValid(document);
  const changed = requireValid(change(current));
  const write = await store.write(changed, revision);
  switch (write.kind) {
    case "written":
      return write.revision;
    case "lost-race":
      if (attemptsLeft > 1) {
        return changeConfig(store, change, attemptsLeft - 1);
      }
      throw new AdminRefusal(409, "lost_race", "other changes came first");
    case "unknown":
      throw AdminRefusal.createUnknownWrite();
  }
}

function requireValid(input: unknown): ConfigDocument {
  const checked = checkConfig(input);
  if (checked.kind === "invalid") {
    throw AdminRefusal.createInvalidConfig(checked.faults);
  }
  return checked.document;
}
