import { renderOverview } from "./render_overview.ts";
import { renderTables } from "./render_tables.ts";
import { replaceBlock } from "./replace_block.ts";
import type { Slope } from "./types.ts";

/** Renders the page anew with the figures of a run. */
export function renderPage(page: string, slopes: readonly Slope[]): string {
  const withOverview = replaceBlock(page, "overview", renderOverview(slopes));
  return replaceBlock(withOverview, "tables", renderTables(slopes));
}
