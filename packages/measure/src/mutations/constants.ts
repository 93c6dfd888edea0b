/** Number of actions in the randomised runs that have to detect the mutations. */
export const MUTATION_STEPS = 60;
