import type {
  DataCentreId,
  InstanceId,
  ListedInstance,
} from "@gooseberryline/core";

/** An instance with its data centre and its entry in the platform's list. */
export type InstanceLocation = {
  readonly id: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly listed: ListedInstance;
};

/** Lists a fleet's instances, given the number in each data centre. */
export function listInstanceLocations(
  instances: Readonly<Record<string, number>>,
): readonly InstanceLocation[] {
  return Object.entries(instances).flatMap(([dataCentre, count]) =>
    Array.from({ length: count }, (_, index) => {
      const id = `${dataCentre}-${index}`;
      return {
        id: id as InstanceId,
        dataCentre: dataCentre as DataCentreId,
        listed: { instanceId: id, address: id, dataCentre, state: "live" },
      };
    }),
  );
}
