import { type ConfigDocument, checkConfig } from "@gooseberryline/core";
import { AdminRefusal } from "./admin_refusal.ts";
import type { ConfigStore } from "./config_store.ts";

const MAX_TRIES = 8;

/**
 * Applies one small change to the present document. Operators race each
 * other, so a lost race is tried again on the newer document.
 */
export async function changeConfig(
  store: ConfigStore,
  change: (document: ConfigDocument) => ConfigDocument,
  triesLeft = MAX_TRIES,
): Promise<number> {
  const { revision, document } = await store.read();
  const present = requireValid(document);
  const changed = requireValid(change(present));
  const write = await store.write(changed, revision);
  switch (write.kind) {
    case "written":
      return write.revision;
    case "lost-race":
      if (triesLeft > 1) {
        return changeConfig(store, change, triesLeft - 1);
      }
      throw new AdminRefusal(409, "lost_race", "other changes came first");
    case "unknown":
      throw AdminRefusal.unknownWrite();
  }
}

function requireValid(input: unknown): ConfigDocument {
  const checked = checkConfig(input);
  if (checked.kind === "invalid") {
    throw AdminRefusal.invalidConfig(checked.faults);
  }
  return checked.document;
}
