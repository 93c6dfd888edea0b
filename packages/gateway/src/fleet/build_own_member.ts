import type { FleetMember } from "@gooseberryline/core";
import type { GatewaySettings } from "../settings/types.ts";

/** Builds an instance's own registration record. */
export function buildOwnMember(
  settings: Pick<
    GatewaySettings,
    "instanceId" | "host" | "peerPort" | "relayPort" | "dataCentre" | "duty"
  >,
  incarnation: string,
): FleetMember {
  const { instanceId, host, peerPort, relayPort, dataCentre, duty } = settings;
  return {
    id: instanceId,
    incarnation,
    address: host,
    port: peerPort,
    relayPort,
    dataCentre,
    duty,
  };
}
