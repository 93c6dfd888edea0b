import type { LoadMessage } from "@gooseberryline/core";
import type { GatewaySettings } from "../settings/types.ts";

/** Describes the sender of a load message by its settings. */
export function describeSender({
  instanceId,
  host,
  dataCentre,
  duty,
}: GatewaySettings): Pick<
  LoadMessage,
  "from" | "address" | "dataCentre" | "duty"
> {
  return { from: instanceId, address: host, dataCentre, duty };
}
