import type { SoakAction } from "./types.ts";

/**
 * Shrinks a failing list of actions by dropping progressively smaller parts
 * while the run still fails.
 */
export function shrinkActions(
  actions: readonly SoakAction[],
  isFailing: (actions: readonly SoakAction[]) => boolean,
  partSize = Math.ceil(actions.length / 2),
): readonly SoakAction[] {
  const shorter = dropPart(actions, isFailing, partSize);
  if (shorter.length < actions.length) {
    return shrinkActions(shorter, isFailing, partSize);
  }
  return partSize <= 1
    ? actions
    : shrinkActions(actions, isFailing, Math.ceil(partSize / 2));
}

function dropPart(
  actions: readonly SoakAction[],
  isFailing: (actions: readonly SoakAction[]) => boolean,
  partSize: number,
): readonly SoakAction[] {
  const starts = Array.from(
    { length: Math.ceil(actions.length / partSize) },
    (_, partIndex) => partIndex * partSize,
  );
  const reduced = starts
    .map((start) => [
      ...actions.slice(0, start),
      ...actions.slice(start + partSize),
    ])
    .find((candidate) => isFailing(candidate));
  return reduced ?? actions;
}
