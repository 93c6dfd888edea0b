/** Types of the operators' configuration, a document with a revision. */
import type { z } from "zod";
import type { CONFIG_SCHEMA } from "./config_schema.ts";

/** The complete document, as stored in the platform's store. */
export type ConfigDocument = z.infer<typeof CONFIG_SCHEMA>;

export type CustomerConfig = ConfigDocument["customers"][string];
export type ProfileConfig = ConfigDocument["profiles"][string];
export type ServiceConfig = ConfigDocument["services"][string];
export type UpstreamConfig = ConfigDocument["upstreams"][string];

/** A document and the revision under which it was accepted. */
export type Config = {
  readonly revision: number;
  readonly document: ConfigDocument;
};

/** A fault in a document and its path, e.g. `customers.a.rate`. */
export type ConfigFault = {
  readonly path: string;
  readonly message: string;
};

/** Changed and removed entries of one section of the document. */
export type SectionPatch = {
  readonly set: Readonly<Record<string, unknown>>;
  readonly drop: readonly string[];
};

/** Changes between two revisions, by section. */
export type ConfigPatch = {
  readonly from: number;
  readonly to: number;
  readonly sections: Readonly<Record<string, SectionPatch>>;
};

/** Source of an offered configuration. The store is authoritative. */
export type ConfigSource = "store" | "peer" | "disk";

/** State of configuration propagation at this instance. */
export type ConfigPropagationState = {
  /** Time of this incarnation's first tick. */
  readonly startedMs: number | undefined;
  /** Highest revision offered by peers or disk during startup. */
  readonly offered: Config | undefined;
  /** Latest request to a peer, until it is answered. */
  readonly pendingRequest:
    | { readonly revision: number; readonly atMs: number }
    | undefined;
  /** Patches that led to the current revision, oldest first. */
  readonly patches: readonly ConfigPatch[];
  readonly isWatching: boolean;
  /** Time until which this instance's watch is considered broken. */
  readonly brokenUntilMs: number;
  readonly nextCheckMs: number;
};

/** Requests a peer's configuration. `have` is the sender's revision, or 0. */
export type ConfigRequest = {
  readonly kind: "config-asked";
  readonly have: number;
};

/** Patches that start at the requested revision, or the full configuration. */
export type ConfigResponse = {
  readonly kind: "config-sent";
  readonly content:
    | { readonly kind: "patches"; readonly patches: readonly ConfigPatch[] }
    | { readonly kind: "whole"; readonly config: Config };
};
