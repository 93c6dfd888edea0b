import type { Candidate } from "../placing/types.ts";
import { assertNever } from "../shared/assert_never.ts";
import { getVersion } from "../stream_versions/get_version.ts";
import type { RolloutStep } from "./types.ts";

type CandidateChoice = {
  readonly candidates: readonly Candidate[];
  readonly step: RolloutStep;
  /** The new version. */
  readonly to: string;
  /** Versions that it replaces, as known at its end. */
  readonly replaced: readonly string[];
  /** Whether the new version may get this one. */
  readonly canTakeTurn: boolean;
  /** Upstreams of the new version that serve the trial. */
  readonly isInTrial: (upstreamId: string) => boolean;
  /** Version that began what is to go on; undefined if nothing has begun. */
  readonly begunBy: string | undefined;
};

/**
 * Lists the upstreams that may get a request or an item, in groups that are tried
 * one after the other. A side without any upstream leaves all to the other one
 * until the roll-out has ended.
 */
export function listCandidateGroups(
  choice: CandidateChoice,
): readonly (readonly Candidate[])[] {
  const { candidates, step, to, replaced, canTakeTurn, begunBy } = choice;
  const fresh = candidates.filter(({ entry }) => getVersion(entry) === to);
  const old = candidates.filter(({ entry }) => getVersion(entry) !== to);
  switch (step) {
    case "ordered":
    case "trial":
    case "small":
    case "large":
    case "most":
      return old.length === 0
        ? [fresh]
        : listTrialGroups(fresh, old, step, {
            ...choice,
            canTakeTurn: canTakeTurn || begunBy === to,
          });
    case "all":
      return [fresh.length === 0 ? old : fresh];
    case "completed":
      return [
        candidates.filter(({ entry }) => !replaced.includes(getVersion(entry))),
      ];
    case "rolled-back":
      return [old];
    default:
      return assertNever(step);
  }
}

function listTrialGroups(
  fresh: readonly Candidate[],
  old: readonly Candidate[],
  step: RolloutStep,
  { canTakeTurn, isInTrial, begunBy }: CandidateChoice,
): readonly (readonly Candidate[])[] {
  if (!canTakeTurn || fresh.length === 0) {
    return [old];
  }
  const isTrial = step === "trial" && begunBy === undefined;
  const chosen = isTrial
    ? fresh.filter(({ entry }) => isInTrial(entry.id))
    : fresh;
  return [chosen, old];
}
