import { buildWorldConfig } from "../../world/build_world_config.ts";
import { DESIGN_SIZE } from "../constants.ts";
import type { Experiment } from "../types.ts";

const MAX_STORE_VALUE_BYTES = 1_048_576;

const measureDocumentBytes = (customers: number, upstreams: number): number => {
  const names = Array.from(
    { length: customers },
    (_, index) => `customer-${index}`,
  );
  const document = buildWorldConfig({
    dataCentres: ["a"],
    upstreamsPerDataCentre: upstreams,
    customers: names,
  });
  return JSON.stringify(document).length;
};

const sharedFields = {
  role: "configuration",
  quantity: "size of the document",
  unit: "B",
  limit: MAX_STORE_VALUE_BYTES,
  mechanism: "core/src/config",
} as const;

/** Experiments on the configuration document, which is stored as one value. */
export const CONFIG_EXPERIMENTS: readonly Experiment[] = [
  {
    ...sharedFields,
    variable: "customers",
    values: [16, 32, 64, 128],
    target: DESIGN_SIZE.CUSTOMERS,
    measure: (x) => measureDocumentBytes(x, 8),
  },
  {
    ...sharedFields,
    variable: "upstreams",
    values: [64, 128, 256, 512, 1_024],
    target: DESIGN_SIZE.UPSTREAMS,
    measure: (x) => measureDocumentBytes(8, x),
  },
];
