import type { PlaceExplanation } from "@gooseberryline/core";

/** Formats what would happen, in one line or two. */
export function printOutcome(answer: PlaceExplanation): string {
  const { outcome, instance, dataCentre, route, service, home } = answer;
  const by = `at ${instance} (${dataCentre}), route ${route ?? "-"}, service ${service ?? "-"}`;
  const meant =
    home === undefined
      ? ""
      : `meant for ${home}; leaving has to save ${Math.round(answer.costMs ?? 0)} ms\n`;
  switch (outcome.kind) {
    case "placed":
      return `would go to ${outcome.upstream}, wait ${Math.round(outcome.waitMs)} ms, ${by}\n${meant}`;
    case "refused": {
      const { status, code, reason, retryAfterMs } = outcome;
      const retry =
        retryAfterMs === undefined
          ? "no Retry-After"
          : `Retry-After ${retryAfterMs.join(" to ")} ms`;
      return `would be refused: ${status} ${code}, ${reason}, ${retry}, ${by}\n${meant}`;
    }
    case "waits":
      return `would wait for a slot, ${by}\n`;
    default:
      return `would end as "${JSON.stringify(outcome)}", which this build doesn't know\n`;
  }
}
