/** The command-line tool, for programs that run it in their own process. */
export { runTool, type ToolStreams } from "./run_tool.ts";
