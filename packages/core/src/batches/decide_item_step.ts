/** Outcome of one run of an item. */
export type ItemRunEnd =
  | { readonly kind: "completed" }
  /** The upstream responded with an error status instead of a result. */
  | { readonly kind: "status"; readonly status: number }
  /** The run was aborted, refused, or preempted by online work. */
  | { readonly kind: "interrupted" }
  /** No message could be built; `isExpired`: the item may be given up. */
  | {
      readonly kind: "unbuilt";
      readonly reason: string;
      readonly isExpired: boolean;
    };

export type ItemStep =
  | { readonly kind: "list-completed" }
  | { readonly kind: "list-errored"; readonly reason: string }
  | { readonly kind: "run-again"; readonly failures: number };

const UNPROCESSABLE = 422;
const SERVER_ERROR = 500;

/**
 * Decides whether an item is completed, has failed permanently, or runs again.
 */
export function decideItemStep(
  end: ItemRunEnd,
  failures: number,
  maxAttempts: number,
): ItemStep {
  if (end.kind === "completed") {
    return { kind: "list-completed" };
  }
  if (end.kind === "interrupted") {
    return { kind: "run-again", failures };
  }
  if (end.kind === "unbuilt") {
    return end.isExpired
      ? { kind: "list-errored", reason: `it can't be sent: ${end.reason}` }
      : { kind: "run-again", failures };
  }
  if (end.status === UNPROCESSABLE) {
    return { kind: "list-errored", reason: "it can't be processed" };
  }
  const counted = failures + (end.status === SERVER_ERROR ? 1 : 0);
  return counted >= maxAttempts
    ? { kind: "list-errored", reason: `it failed ${counted} times` }
    : { kind: "run-again", failures: counted };
}
