/** Which software began a stream, and may go on with it. */

/** The software that began a stream: a version of a service's upstreams. */
export type StreamOrigin = {
  readonly service: string;
  /** Empty for upstreams that name none, which count as one version. */
  readonly version: string;
};

/** The versions of a service's upstreams that the fleet has seen. */
export type VersionHistory = {
  readonly service: string;
  /** From when on each version was recorded; Unix time, in ms. */
  readonly sinceMs: number;
  /** When each was last listed, as Unix time in ms; null while it is listed. */
  readonly versions: Readonly<Record<string, number | null>>;
};

/** What is known of the versions of a service at a moment. */
export type VersionFacts = {
  /** Undefined until it has been read or written. */
  readonly history: VersionHistory | undefined;
  /** Versions of the upstreams that this instance has listed. */
  readonly listed: ReadonlySet<string>;
  /** Unix time, in ms. */
  readonly unixMs: number;
};
