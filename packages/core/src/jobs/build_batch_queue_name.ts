/** Returns the name of the fair queue for a service's batch work. */
export function buildBatchQueueName(service: string): string {
  return `batch|${service}`;
}
