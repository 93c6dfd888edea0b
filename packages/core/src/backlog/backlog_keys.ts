import { hashText } from "../shared/hash_text.ts";

const ROOT = "jobs";
const SEEDS = ["a", "b"] as const;

/** The route and customer whose jobs share one limit. */
type BacklogOwner = {
  readonly customer: string;
  readonly host: string;
  readonly prefix: string;
};

/** Hashed, as keys are short and names are not limited. */
function buildScope({ customer, host, prefix }: BacklogOwner): string {
  const name = JSON.stringify([customer, host, prefix]);
  return SEEDS.map((seed) => hashText(`${seed}|${name}`).toString(36)).join(
    "-",
  );
}

/** Keys of a customer's backlog on a route in the metadata store. */
export const backlogKeys = {
  ledger: (owner: BacklogOwner) => `${ROOT}/ledger/${buildScope(owner)}`,
  openJobs: (owner: BacklogOwner) => `${ROOT}/open/${buildScope(owner)}/`,
  openJob: (owner: BacklogOwner, jobId: string) =>
    `${ROOT}/open/${buildScope(owner)}/${jobId}`,
} as const;
