import type { EventLog, MetadataStore } from "@gooseberryline/core";
import type { RecordDialect } from "../dialect/types.ts";
import type { FleetView } from "../fleet/fleet_view.ts";
import { OriginWriter } from "./origin_writer.ts";
import { readListedVersions } from "./read_listed_versions.ts";
import { SoleVersionCheck } from "./sole_version_check.ts";
import { StreamOrigins } from "./stream_origins.ts";
import { VersionKeeper } from "./version_keeper.ts";

type Parts = {
  readonly view: FleetView;
  readonly store: MetadataStore;
  readonly log: EventLog;
};

/** Creates what an instance knows and writes of the versions that begin streams. */
export function createStreamOrigins(
  { view, store, log }: Parts,
  dialect: RecordDialect,
) {
  const readUnixMs = (): number => Date.now();
  const versions = new VersionKeeper({
    store,
    log,
    directory: view.directory,
    isFirstStart: view.settings.isFirstStart,
    readUnixMs,
    onMixed: (service) => origins.recordMixed(service),
  });
  const writer = new OriginWriter({
    store,
    log,
    readNowMs: () => view.readNowMs(),
    countInstances: () => view.members.count(),
  });
  const check = new SoleVersionCheck({
    store,
    versions,
    listVersions: () => readListedVersions(store, dialect, view.readNowMs()),
    readUnixMs,
  });
  const origins = new StreamOrigins({ store, versions, check, writer });
  return { versions, writer, origins };
}
