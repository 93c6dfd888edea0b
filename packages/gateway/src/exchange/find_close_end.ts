import { assertNever } from "@gooseberryline/core";
import { waitMs } from "../wait_ms.ts";
import { checkPort } from "./check_port.ts";
import { EXCHANGE } from "./constants.ts";
import type { AnswerClose, ExchangeEnd, ExchangeOptions } from "./types.ts";

type CloseOptions = Pick<
  ExchangeOptions,
  "address" | "isIdempotent" | "isLeaving"
>;

/**
 * Finds out whether an answer that the end of its connection has ended is whole. The
 * system ends the connections of a killed process in order, so an end in
 * order counts only while the upstream still listens.
 */
export async function findCloseEnd(
  closing: Promise<AnswerClose>,
  { address, isIdempotent, isLeaving }: CloseOptions,
): Promise<ExchangeEnd> {
  const close = await closing;
  switch (close) {
    case "unexpected":
      return buildLost(
        "the answer ended with its connection, against its head",
      );
    case "reset":
      return buildLost("the connection was reset at the answer's end");
    case "in-order": {
      if (!isIdempotent && isLeaving?.() === true) {
        return { kind: "whole" };
      }
      await waitMs(EXCHANGE.PROCESS_END_MS);
      return (await checkPort(address)) === "refused"
        ? buildLost("the upstream was gone at the answer's end")
        : { kind: "whole" };
    }
    default:
      return assertNever(close);
  }
}

function buildLost(reason: string): ExchangeEnd {
  return { kind: "lost", reason, isSilent: false };
}
