import type { World } from "@gooseberryline/fakes";

/** Cuts the network between an instance or data centre and all others. */
export function isolate(
  { network }: World,
  endpointId: string | undefined,
  endpointIds: readonly string[],
): void {
  if (endpointId === undefined) {
    return;
  }
  endpointIds
    .filter((other) => other !== endpointId)
    .forEach((other) => {
      network.cut(endpointId, other);
    });
}
