import { got } from "got";
import { buildSummary } from "./build_summary.ts";
import { FLEET_QUERY } from "./constants.ts";
import { parseMetrics } from "./parse_metrics.ts";
import type { FleetSummary, InstanceSummary } from "./types.ts";

type QueryAnswer =
  | { readonly kind: "told"; readonly summary: InstanceSummary }
  | { readonly kind: "missing"; readonly reason: string };

/** Queries the metrics of all instances; failures are reported separately. */
export async function queryFleet(
  addresses: readonly string[],
): Promise<FleetSummary> {
  const answers = await Promise.all(
    addresses.map(async (address) => ({
      address,
      answer: await queryInstance(address),
    })),
  );
  return {
    instances: answers.flatMap(({ answer }) =>
      answer.kind === "told" ? [answer.summary] : [],
    ),
    missing: answers.flatMap(({ address, answer }) =>
      answer.kind === "missing" ? [{ address, reason: answer.reason }] : [],
    ),
  };
}

async function queryInstance(address: string): Promise<QueryAnswer> {
  try {
    const text = await got(`http://${address}${FLEET_QUERY.PATH}`, {
      retry: { limit: 0 },
      timeout: { request: FLEET_QUERY.TIMEOUT_MS },
    }).text();
    const summary = buildSummary(address, parseMetrics(text));
    return summary === undefined
      ? { kind: "missing", reason: "its metrics are another program's" }
      : { kind: "told", summary };
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return { kind: "missing", reason };
  }
}
