import { CALL_SHAPES, type Route } from "@gooseberryline/core";
import type { ExchangeHead } from "../exchange/types.ts";

const OK = 200;

/** Whether an answer is a stream of events to a route of streams. */
export function isStreamAnswer(
  { shape }: Pick<Route, "shape">,
  head: ExchangeHead | undefined,
): boolean {
  return (
    shape === CALL_SHAPES.stream &&
    head?.isEventStream === true &&
    head.status === OK
  );
}
