import { BATCHES } from "./constants.ts";

/** What is known of the text of an item that is not listed yet. */
type TextProgress = {
  readonly jobId: string;
  readonly events: number;
  /** Events that the store has of it. */
  readonly savedEvents: number;
  readonly bytes: number;
};

/**
 * Chooses the texts that one commit saves: those that would lose most, as
 * long as there is room for them and for the claims of their jobs. A text is
 * saved once `minEvents` of it would be lost. Answers the loss of a worker
 * while many items are under way: without it all of them run again in whole.
 */
export function chooseTexts<Text extends TextProgress>(
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
