/** The command-line tool, for programs that run it in-process. */
export { runTool, type ToolStreams } from "./run_tool.ts";
