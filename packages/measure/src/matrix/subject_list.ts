import { buildBatchSubjects } from "./subjects/build_batch_subjects.ts";
import { buildRequestSubject } from "./subjects/build_request_subject.ts";
import type { Subject } from "./types.ts";

/** All subjects that follow a state chart of the core. */
export const SUBJECT_LIST: readonly Subject[] = [
  buildRequestSubject("counter"),
  buildRequestSubject("charge"),
  ...buildBatchSubjects(),
];
