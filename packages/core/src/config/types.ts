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

/** Entries of one section of the document that changed. */
export type SectionPatch = {
  readonly set: Readonly<Record<string, unknown>>;
  readonly drop: readonly string[];
};

/** What changed between two revisions, section by section. */
export type ConfigPatch = {
  readonly from: number;
  readonly to: number;
  readonly sections: Readonly<Record<string, SectionPatch>>;
};

/** Where an offered configuration comes from; the store decides. */
export type ConfigSource = "store" | "peer" | "disk";

/** How far this instance's part in spreading the configuration stands. */
export type ConfigPropagationState = {
  /** First tick of this incarnation. */
  readonly startedMs: number | undefined;
  /** Highest offer of peers or disk while the instance is starting. */
  readonly offered: Config | undefined;
  /** The last question to a peer, until it is answered. */
  readonly pendingRequest:
    | { readonly revision: number; readonly atMs: number }
    | undefined;
  /** Patches that led to the present revision, oldest first. */
  readonly patches: readonly ConfigPatch[];
  readonly isWatching: boolean;
  /** Moment until which the own watch counts as broken. */
  readonly brokenUntilMs: number;
  readonly nextCheckMs: number;
};

/** Asks a peer for its configuration; `have` is the own revision, or 0. */
export type ConfigRequest = {
  readonly kind: "config-asked";
  readonly have: number;
};

/** The patches after the revision that was asked with, or all of it. */
export type ConfigResponse = {
  readonly kind: "config-sent";
  readonly content:
    | { readonly kind: "patches"; readonly patches: readonly ConfigPatch[] }
    | { readonly kind: "whole"; readonly config: Config };
};
