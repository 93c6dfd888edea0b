import type { FleetView } from "../fleet/fleet_view.ts";
import { describeEvidence } from "./describe_evidence.ts";
import type { RolloutFigures } from "./types.ts";

/** Name under which all versions that an order replaces are counted. */
const OLD = "replaced";

/** Lists the roll-outs for the metrics, with what all instances have counted. */
export function listRolloutFigures(view: FleetView): readonly RolloutFigures[] {
  const nowMs = view.readNowMs();
  return view.rollouts.list().map((rollout) => {
    const { service, to } = rollout.order;
    const counts = describeEvidence(rollout.mergeEvidence());
    const total = Math.max(1, counts.sentNew + counts.sentOld);
    return {
      service,
      step: rollout.step,
      evidenceAgeMs: Math.round(rollout.measureEvidenceAgeMs(nowMs)),
      versions: [
        {
          version: to,
          sent: counts.sentNew,
          answered: counts.answered,
          bad: counts.bad,
          share: counts.sentNew / total,
        },
        {
          version: OLD,
          sent: counts.sentOld,
          answered: counts.oldAnswered,
          bad: counts.oldBad,
          share: counts.sentOld / total,
        },
      ],
    };
  });
}
