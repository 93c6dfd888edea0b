import type { DataCentreId } from "@gooseberryline/core";

/** Where the platform's service stands in the virtual network. */
export const PLATFORM_PLACE = {
  id: "platform",
  dataCentre: "platform" as DataCentreId,
};
