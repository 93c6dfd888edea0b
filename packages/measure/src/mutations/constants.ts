/** Length of the randomised runs that have to catch the breaks. */
export const MUTATION_STEPS = 60;
