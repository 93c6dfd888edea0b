/**
 * Returns whether an event with this id, undefined if it has none, may follow the
 * last one. The first event of a resumed stream has to name its place.
 */
export function isNextEvent(
  id: number | undefined,
  lastId: number | undefined,
  isResuming: boolean,
): boolean {
  return id === undefined
    ? !isResuming
    : lastId === undefined || id === lastId + 1;
}
