import { ROLLOUT_STEPS } from "@gooseberryline/core";
import { z } from "zod";
import { buildRecordSchema } from "../build_record_schema.ts";

const COUNT = z.number().nonnegative();

/** As `encodeRolloutNews` writes it; 1 stands for the new version. */
const ROW = z
  .tuple([COUNT, z.string(), COUNT, COUNT, COUNT, COUNT, COUNT, COUNT])
  .transform(
    ([period, route, side, answered, failed, broken, judged, slow]) => ({
      period,
      route,
      isNew: side === 1,
      answered,
      failed,
      broken,
      judged,
      slow,
    }),
  );

/** What a peer tells about a roll-out with its load. */
export const ROLLOUT_NEWS_SCHEMA = z.object({
  order: z.number(),
  step: z.enum(ROLLOUT_STEPS),
  badReason: z.string().optional(),
  rows: z.array(ROW),
  upstreams: buildRecordSchema(z.object({ answered: COUNT, bad: COUNT })),
  sentNew: COUNT,
  sentOld: COUNT,
});
