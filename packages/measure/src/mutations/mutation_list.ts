import { ANSWER_MUTATIONS } from "./answer_mutations.ts";
import { CONFIG_MUTATIONS } from "./config_mutations.ts";
import type { Mutation } from "./types.ts";

/** All mutations that the checks have to detect. */
export const MUTATION_LIST: readonly Mutation[] = [
  ...ANSWER_MUTATIONS,
  ...CONFIG_MUTATIONS,
];
