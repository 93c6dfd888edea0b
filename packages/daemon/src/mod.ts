/** Public API of the daemon, for programs that run it in their own process. */
export { createLog, type Log } from "./logs/create_log.ts";
export { parseSettings } from "./settings/parse_settings.ts";
export type * from "./settings/types.ts";
export type * from "./start/types.ts";
export { startDaemon } from "./start_daemon.ts";
export { AnswerHeadWatch } from "./tasks/answer_head_watch.ts";
export { ConnectionPool } from "./tasks/connection_pool.ts";
export { readBodyEnd } from "./tasks/read_body_end.ts";
export { watchConnectionEnd } from "./tasks/watch_connection_end.ts";
