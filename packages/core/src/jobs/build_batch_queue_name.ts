/** Names the fair queue of a service's batch work. */
export function buildBatchQueueName(service: string): string {
  return `batch|${service}`;
}
