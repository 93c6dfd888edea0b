import type {
  DataCentreId,
  InstanceId,
  ListedInstance,
} from "@gooseberryline/core";

/** An instance, where it stands, and how the platform lists it. */
export type Place = {
  readonly id: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly listed: ListedInstance;
};

/** Lists the instances of a fleet by the size of each data centre. */
export function listPlaces(
  instances: Readonly<Record<string, number>>,
): readonly Place[] {
  return Object.entries(instances).flatMap(([dataCentre, count]) =>
    Array.from({ length: count }, (_, at) => {
      const id = `${dataCentre}-${at}`;
      return {
        id: id as InstanceId,
        dataCentre: dataCentre as DataCentreId,
        listed: { instanceId: id, address: id, dataCentre, state: "live" },
      };
    }),
  );
}
