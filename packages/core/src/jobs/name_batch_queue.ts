/** Names the fair queue of a service's batch work. */
export function nameBatchQueue(service: string): string {
  return `batch|${service}`;
}
