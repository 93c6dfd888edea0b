/** What is known of the peers' demand, and of the requests that come here. */
type ToldDemand = {
  /** Requests that peers told to be in flight or waiting. */
  readonly told: number;
  readonly tellers: number;
  /** Mean age of what they told, in ms. */
  readonly ageMs: number;
  /** Requests that came here lately and were not refused, per ms. */
  readonly ownPerMs: number;
  readonly meanServiceMs: number;
};

/**
 * Estimates by how many requests the peers' demand has grown since they told of it;
 * negative if it has become less. Callers choose among instances alike, so as many
 * requests come to each as come here, and one in flight ends each mean service time.
 */
export function estimateUntold({
  told,
  tellers,
  ageMs,
  ownPerMs,
  meanServiceMs,
}: ToldDemand): number {
  const grown =
    (tellers * ownPerMs - told / Math.max(1, meanServiceMs)) * ageMs;
  return Math.max(-told / 2, grown);
}
