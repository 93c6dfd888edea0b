/** The operators' configuration: one document under one revision. */
import type { z } from "zod";
import type { CONFIG_SCHEMA } from "./config_schema.ts";

/** The whole document, as the platform's store holds it. */
export type ConfigDocument = z.infer<typeof CONFIG_SCHEMA>;

export type CustomerConfig = ConfigDocument["customers"][string];
export type ProfileConfig = ConfigDocument["profiles"][string];
export type ServiceConfig = ConfigDocument["services"][string];
export type UpstreamConfig = ConfigDocument["upstreams"][string];

/** A document with the revision under which it was accepted. */
export type Config = {
  readonly revision: number;
  readonly document: ConfigDocument;
};

/** One fault of a document and where it stands, e.g. `customers.a.rate`. */
export type ConfigFault = {
  readonly path: string;
  readonly message: string;
};
