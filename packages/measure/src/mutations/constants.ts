/** Number of actions in the randomised runs that must detect mutations. */
export const MUTATION_STEPS = 60;
