import type { DataCentreId } from "@gooseberryline/core";

/** Endpoint of the platform's service in the virtual network. */
export const PLATFORM_LOCATION = {
  id: "platform",
  dataCentre: "platform" as DataCentreId,
};
