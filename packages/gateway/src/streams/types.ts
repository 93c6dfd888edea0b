/** Types of what is known of the versions that began streams. */

/** Versions of the upstreams that are listed, by service. */
export type ListedVersions = ReadonlyMap<string, ReadonlySet<string>>;
