/** One step of a task, for the log; `key` names what it was about. */
export type Step = { readonly step: string; readonly key?: string };
