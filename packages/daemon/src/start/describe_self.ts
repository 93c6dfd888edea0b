import { randomUUID } from "node:crypto";
import type {
  DataCentreId,
  InstanceId,
  InstanceSelf,
} from "@gooseberryline/core";
import type { Settings } from "../settings/types.ts";

const INCARNATION_CHARS = 8;

/** Describes this start of the instance; its address is set once bound. */
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
 * An instance with its own stand-in platform is alone: what it holds is lost
 * with it anyway, so a temporary folder serves as its disk.
 */
function hasDisk({ dataFolder, platform }: Settings): boolean {
  return dataFolder !== undefined || platform === undefined;
}
