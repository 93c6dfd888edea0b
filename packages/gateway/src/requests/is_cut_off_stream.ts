import type { ExchangeEnd, ExchangeHead } from "../exchange/types.ts";

/**
 * Returns whether a stream without an event ended with its connection: the same
 * bytes come from an upstream that ended by itself.
 */
export function isCutOffStream(
  { kind }: ExchangeEnd,
  head: ExchangeHead | undefined,
): boolean {
  return (
    kind === "whole" &&
    head?.isEventStream === true &&
    head.isCloseDelimited === true
  );
}
