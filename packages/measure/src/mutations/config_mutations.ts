import { changeDocument } from "./change_document.ts";
import type { Mutation } from "./types.ts";

/** Mutations of how instances apply the configuration. */
export const CONFIG_MUTATIONS: readonly Mutation[] = [
  {
    name: "a withdrawn key goes on working",
    invariant: "runs-for-own-customer",
    seed: 1,
    changeStep: (step) =>
      changeDocument(step, (document) => ({
        ...document,
        customers: Object.fromEntries(
          Object.entries(document.customers).map(([id, customer]) => [
            id,
            {
              ...customer,
              keys: [{ id: `${id}-key`, hash: "0".repeat(64) }],
            },
          ]),
        ),
      })),
  },
  {
    name: "a data centre taken out is not noticed",
    invariant: "leaving-gets-no-work",
    seed: 1,
    changeStep: (step) =>
      changeDocument(step, (document) => ({
        ...document,
        dataCentres: Object.fromEntries(
          Object.keys(document.dataCentres).map((id) => [
            id,
            { state: "in" as const },
          ]),
        ),
      })),
  },
  {
    name: "a lower revision is adopted",
    invariant: "revision-never-reverts",
    seed: 3,
    changeStep: (step) => (state, event, nowMs) => {
      const after = step(state, event, nowMs);
      const isReplaced =
        event.kind === "config-offered" &&
        state.config !== undefined &&
        after.state.config !== state.config;
      return isReplaced
        ? { ...after, state: { ...after.state, config: state.config } }
        : after;
    },
  },
];
