import type {
  AnswerCounts,
  EvidenceRow,
  RolloutEvidence,
  UpstreamAnswers,
} from "@gooseberryline/core";

/** Where an answer is counted. */
export type AnswerPlace = Pick<EvidenceRow, "period" | "route" | "isNew"> & {
  readonly upstreamId: string;
};

const NO_ANSWERS: UpstreamAnswers = { answered: 0, bad: 0 };
/** Routes that are told apart, so that messages stay short. */
const MAX_ROUTES = 16;
const OTHER_ROUTES = "others";

/** Counts what this instance has sent and seen of both versions since an order. */
export class OwnEvidence {
  readonly #rows = new Map<string, EvidenceRow>();
  readonly #upstreams = new Map<string, UpstreamAnswers>();
  readonly #routes = new Set<string>();
  #sentNew = 0;
  #sentOld = 0;

  recordSend(isNew: boolean): void {
    if (isNew) {
      this.#sentNew += 1;
    } else {
      this.#sentOld += 1;
    }
  }

  recordAnswer(place: AnswerPlace, counts: AnswerCounts): void {
    const { period, isNew, upstreamId } = place;
    const route = this.#describeRoute(place.route);
    const key = `${period} ${isNew} ${route}`;
    const row = this.#rows.get(key);
    this.#rows.set(key, {
      period,
      route,
      isNew,
      answered: (row?.answered ?? 0) + counts.answered,
      failed: (row?.failed ?? 0) + counts.failed,
      broken: (row?.broken ?? 0) + counts.broken,
      judged: (row?.judged ?? 0) + counts.judged,
      slow: (row?.slow ?? 0) + counts.slow,
    });
    if (isNew) {
      const { answered, bad } = this.#upstreams.get(upstreamId) ?? NO_ANSWERS;
      const isBad = counts.failed + counts.broken + counts.slow > 0;
      this.#upstreams.set(upstreamId, {
        answered: answered + counts.answered,
        bad: bad + (isBad ? 1 : 0),
      });
    }
  }

  countSent(): Pick<RolloutEvidence, "sentNew" | "sentOld"> {
    return { sentNew: this.#sentNew, sentOld: this.#sentOld };
  }

  #describeRoute(route: string): string {
    if (this.#routes.size < MAX_ROUTES) {
      this.#routes.add(route);
    }
    return this.#routes.has(route) ? route : OTHER_ROUTES;
  }

  build(): RolloutEvidence {
    return {
      rows: [...this.#rows.values()],
      upstreams: Object.fromEntries(this.#upstreams),
      ...this.countSent(),
    };
  }
}
