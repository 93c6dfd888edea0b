import { BATCHES } from "./constants.ts";

/** Progress of the partial output of an item without a stored result. */
type TextProgress = {
  readonly jobId: string;
  readonly events: number;
  /** Number of events that are already stored. */
  readonly savedEvents: number;
  readonly bytes: number;
};

/**
 * Chooses the texts to save in one commit: those with the most unsaved events
 * first, as long as they and the claims of their jobs fit into the commit. A
 * text is saved once it has `minEvents` unsaved events. Without saved texts,
 * the loss of a worker would make all of its items in flight run again in full.
 */
export function chooseTextsToSave<Text extends TextProgress>(
  texts: readonly Text[],
  minEvents: number,
): readonly Text[] {
  const ordered = texts
    .filter((text) => countUnsaved(text) >= Math.max(1, minEvents))
    .sort((a, b) => countUnsaved(b) - countUnsaved(a));
  const chosen: Text[] = [];
  const jobIds = new Set<string>();
  let bytes = 0;
  ordered.forEach((text) => {
    const claims = jobIds.size + (jobIds.has(text.jobId) ? 0 : 1);
    const entries = chosen.length + 1 + claims;
    const fits =
      entries <= BATCHES.MAX_COMMIT_ENTRIES &&
      (chosen.length === 0 || bytes + text.bytes <= BATCHES.MAX_SAVE_BYTES);
    if (fits) {
      chosen.push(text);
      jobIds.add(text.jobId);
      bytes += text.bytes;
    }
  });
  return chosen;
}

function countUnsaved({ events, savedEvents }: TextProgress): number {
  return events - savedEvents;
}
