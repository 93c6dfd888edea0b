import { randomUUID } from "node:crypto";
import type {
  DataCentreId,
  InstanceId,
  InstanceSelf,
} from "@gooseberryline/core";
import type { Settings } from "../settings/types.ts";

const INCARNATION_CHARS = 8;

/**
 * Describes the instance with a new incarnation id; the address is set once the
 * peer listener is bound.
 */
export function describeSelf(settings: Settings): InstanceSelf {
  return {
    instanceId: settings.instanceId as InstanceId,
    dataCentre: settings.dataCentre as DataCentreId,
    address: "",
    incarnation: randomUUID().slice(0, INCARNATION_CHARS),
    hasDisk: hasDisk(settings),
  };
}

/**
 * Returns whether the instance has a disk. With an embedded platform it runs
 * alone and its data is lost when it ends anyway, so a temporary folder is
 * used as its disk.
 */
function hasDisk({ dataFolder, platform }: Settings): boolean {
  return dataFolder !== undefined || platform === undefined;
}
