/**
 * Indexes in keys are zero-padded to this length, so that keys sort by index.
 */
const INDEX_DIGITS = 4;
const ROOT = "jobs";

function formatIndex(index: number): string {
  return String(index).padStart(INDEX_DIGITS, "0");
}

/** Keys of a job's records in the metadata store. */
export const batchKeys = {
  jobPrefix: `${ROOT}/job/`,
  claimPrefix: `${ROOT}/claim/`,
  job: (id: string) => `${ROOT}/job/${id}`,
  claim: (id: string) => `${ROOT}/claim/${id}`,
  progress: (id: string) => `${ROOT}/progress/${id}`,
  items: (id: string) => `${ROOT}/items/${id}/`,
  chunk: (id: string, index: number) =>
    `${ROOT}/items/${id}/${formatIndex(index)}`,
  texts: (id: string) => `${ROOT}/texts/${id}/`,
  text: (id: string, index: number) =>
    `${ROOT}/texts/${id}/${formatIndex(index)}`,
  results: (id: string) => `${ROOT}/results/${id}/`,
  result: (id: string, position: number) =>
    `${ROOT}/results/${id}/${formatIndex(position)}`,
} as const;
