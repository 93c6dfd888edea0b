import type { World } from "@gooseberryline/fakes";

/** Cuts one end (instance or data centre) off all the others. */
export function isolate(
  { network }: World,
  id: string | undefined,
  ids: readonly string[],
): void {
  if (id === undefined) {
    return;
  }
  ids
    .filter((other) => other !== id)
    .forEach((other) => {
      network.cut(id, other);
    });
}
