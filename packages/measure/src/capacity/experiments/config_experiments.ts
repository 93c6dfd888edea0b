import { buildWorldConfig } from "../../world/world_config.ts";
import { TARGET } from "../constants.ts";
import type { Experiment } from "../types.ts";

const STORE_VALUE_BYTES = 1_048_576;

const measureDocument = (customers: number, upstreams: number): number => {
  const names = Array.from({ length: customers }, (_, at) => `customer-${at}`);
  const document = buildWorldConfig({
    dataCentres: ["a"],
    upstreamsEach: upstreams,
    customers: names,
  });
  return JSON.stringify(document).length;
};

const common = {
  role: "configuration",
  quantity: "size of the document",
  unit: "B",
  limit: STORE_VALUE_BYTES,
  mechanism: "core/src/config",
} as const;

/** The configuration document, which is one value of the store. */
export const CONFIG_EXPERIMENTS: readonly Experiment[] = [
  {
    ...common,
    variable: "customers",
    values: [16, 32, 64, 128],
    target: TARGET.CUSTOMERS,
    measure: (x) => measureDocument(x, 8),
  },
  {
    ...common,
    variable: "upstreams",
    values: [64, 128, 256, 512, 1_024],
    target: TARGET.UPSTREAMS,
    measure: (x) => measureDocument(8, x),
  },
];
