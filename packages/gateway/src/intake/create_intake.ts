import { computeIntakeLimits, type IntakeLimits } from "@gooseberryline/core";
import { EXCHANGE } from "../exchange/constants.ts";
import { HeldBytes } from "../exchange/held_bytes.ts";
import type { GatewaySettings } from "../settings/types.ts";
import { ByteBudget } from "./byte_budget.ts";
import type { CrowdReporter } from "./crowd_reporter.ts";

/** What clients may take of this process, and what counts it. */
type Intake = {
  readonly limits: IntakeLimits;
  /** Answers of upstreams. */
  readonly held: HeldBytes;
  /** Requests of callers. */
  readonly requests: ByteBudget;
  /** Messages of peers. */
  readonly messages: ByteBudget;
};

/** Divides the memory of the settings among requests, messages and answers. */
export function createIntake(
  { memoryMb, maxFds }: Pick<GatewaySettings, "memoryMb" | "maxFds">,
  reporter: Pick<CrowdReporter, "recordYield">,
): Intake {
  const limits = computeIntakeLimits(memoryMb, maxFds);
  const answerBytes = Math.min(limits.answerBytes, EXCHANGE.MAX_HELD_BYTES);
  return {
    limits,
    held: new HeldBytes(answerBytes, () => reporter.recordYield("answer")),
    requests: new ByteBudget(limits.requestBytes, () =>
      reporter.recordYield("request"),
    ),
    messages: new ByteBudget(limits.messageBytes, () =>
      reporter.recordYield("message"),
    ),
  };
}
