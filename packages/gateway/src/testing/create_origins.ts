import { createMetadata } from "@gooseberryline/fakes";
import type { FleetView } from "../fleet/fleet_view.ts";
import { historyRecord } from "../streams/history_record.ts";
import { OriginWriter } from "../streams/origin_writer.ts";
import { SoleVersionCheck } from "../streams/sole_version_check.ts";
import { StreamOrigins } from "../streams/stream_origins.ts";
import type { ListedVersions } from "../streams/types.ts";
import { VersionKeeper } from "../streams/version_keeper.ts";
import { SILENT_LOG } from "./silent_log.ts";

/** Creates what an instance knows of the versions that began streams. */
export function createOrigins(
  view: FleetView,
  metadata = createMetadata(),
  isFirstStart = true,
  listVersions = async (): Promise<ListedVersions | undefined> =>
    view.directory.listVersions(),
) {
  const { store } = metadata;
  const versions = new VersionKeeper({
    store,
    directory: view.directory,
    log: SILENT_LOG,
    isFirstStart,
    readUnixMs: () => Date.now(),
    onMixed: (service) => origins.recordMixed(service),
  });
  const writer = new OriginWriter({
    store,
    log: SILENT_LOG,
    readNowMs: () => performance.now(),
    countInstances: () => 1,
  });
  const readUnixMs = (): number => Date.now();
  const checkParts = { store, versions, listVersions, readUnixMs };
  const check = new SoleVersionCheck(checkParts);
  const origins = new StreamOrigins({ store, versions, check, writer });
  /** Reads the records as a watch would report them, then starts. */
  const load = async (): Promise<void> => {
    const page = await store.listPage(historyRecord.buildKey(""));
    const items = page.kind === "page" ? page.items : [];
    items.forEach((item) => {
      const service = historyRecord.parseKey(item.key) ?? "";
      versions.handleEvent(service, { kind: "set", item });
    });
    versions.start();
  };
  return { metadata, versions, writer, origins, load };
}
