import type { ConfigDocument, InstanceEvent } from "@gooseberryline/core";
import { changeEvent } from "./change_event.ts";
import type { CoreStep } from "./types.ts";

/** Wraps a step function so that instances receive a changed configuration. */
export function changeDocument(
  step: CoreStep,
  change: (document: ConfigDocument) => ConfigDocument,
): CoreStep {
  return changeEvent(step, (event) => changeOffer(event, change));
}

function changeOffer(
  event: InstanceEvent,
  change: (document: ConfigDocument) => ConfigDocument,
): InstanceEvent {
  if (event.kind === "config-offered") {
    const { config } = event;
    const document = change(config.document);
    return { ...event, config: { ...config, document } };
  }
  return event;
}
