import { renderOverview } from "./render_overview.ts";
import { renderTables } from "./render_tables.ts";
import { replaceBlock } from "./replace_block.ts";
import type { ExperimentResult } from "./types.ts";

/** Replaces the generated blocks of the capacity page by a run's results. */
export function renderPage(
  page: string,
  results: readonly ExperimentResult[],
): string {
  const withOverview = replaceBlock(page, "overview", renderOverview(results));
  return replaceBlock(withOverview, "tables", renderTables(results));
}
