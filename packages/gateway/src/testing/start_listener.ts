import { ConnectionPool } from "@gooseberryline/daemon";
import { createMetadata } from "@gooseberryline/fakes";
import type { CallDialect } from "../dialect/types.ts";
import { HeldBytes } from "../exchange/held_bytes.ts";
import type { FleetView } from "../fleet/fleet_view.ts";
import { CallerListener } from "../http/caller_listener.ts";
import type { ByteBudget } from "../intake/byte_budget.ts";
import { JobApi } from "../jobs/job_api.ts";
import { ResultCountFeed } from "../jobs/result_count_feed.ts";
import { createOrigins } from "./create_origins.ts";
import { createView } from "./create_view.ts";
import { findPort } from "./find_port.ts";
import { plainDialect } from "./plain_dialect.ts";
import { roomyIntake } from "./roomy_intake.ts";
import { SILENT_LOG } from "./silent_log.ts";

/** Starts the callers' listener of an instance on a free loopback port. */
export async function startListener(
  view: FleetView = createView(),
  isTableNewest = (): boolean => true,
  {
    dialect = plainDialect,
    budget,
  }: {
    readonly dialect?: CallDialect;
    readonly budget?: ByteBudget | undefined;
  } = {},
) {
  const tableCheck = { confirm: async () => isTableNewest() };
  const shared = { view, tableCheck, dialect, log: SILENT_LOG };
  const listener = new CallerListener({
    ...shared,
    pool: new ConnectionPool(1_000),
    held: new HeldBytes(),
    origins: createOrigins(view).origins,
    jobs: new JobApi({
      ...shared,
      store: createMetadata().store,
      resultCounts: new ResultCountFeed(() => view.readNowMs()),
      onClaimsChange: () => undefined,
    }),
    refusals: { record: () => undefined },
    ...roomyIntake.build(),
    ...(budget === undefined ? {} : { budget }),
    onDone: () => undefined,
  });
  const port = await findPort();
  await listener.start({ host: "127.0.0.1", port });
  return { listener, port };
}
