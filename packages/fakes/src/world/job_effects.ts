import type { Effect, InstanceId } from "@gooseberryline/core";
import type { EffectContext } from "./effect_context.ts";
import type { WorldNode } from "./types.ts";
import type { VirtualDisks } from "./virtual_disks.ts";

const WRITE_DELAY_MS = 1;
const DISK_TIMEOUT_MS = 300;
const FIRST_ERROR_STATUS = 400;

type StoreResult = Extract<Effect, { kind: "store-result" }>;
type BuildOutput = Extract<Effect, { kind: "build-output" }>;

/** Runs the effects of batch jobs against virtual disks. */
export class JobEffects {
  readonly #parts: EffectContext;
  readonly #disks: VirtualDisks;

  constructor(parts: EffectContext, disks: VirtualDisks) {
    this.#parts = parts;
    this.#disks = disks;
  }

  /** Writes a result to each replica; an unreachable disk fails the write. */
  store(node: WorldNode, effect: StoreResult): void {
    const { kind: _kind, disks, ...fields } = effect;
    const failed = disks.find((id) => !this.#canReach(node, id));
    const writes = disks.filter((id) => this.#canReach(node, id));
    this.#parts.queue.schedule(WRITE_DELAY_MS, () => {
      writes.forEach((id) => {
        this.#disks.writeResult(id, effect.blobId, effect);
      });
      if (failed === undefined && disks.length > 0) {
        this.#parts.dispatch(node, { kind: "result-stored", ...fields });
        return;
      }
      const disk = failed ?? ("" as InstanceId);
      this.#parts.queue.schedule(DISK_TIMEOUT_MS, () =>
        this.#parts.dispatch(node, {
          kind: "result-store-failed",
          ...fields,
          disk,
        }),
      );
    });
  }

  /** Builds a job's output, or reports that a result is unreadable for now. */
  buildOutput(node: WorldNode, { spec, segments }: BuildOutput): void {
    const { jobId } = spec;
    this.#parts.queue.schedule(WRITE_DELAY_MS, () => {
      const lines = this.#disks.collectResults(segments, (id) =>
        this.#canReach(node, id),
      );
      if (lines === undefined) {
        const output = undefined;
        this.#parts.dispatch(node, { kind: "output-built", jobId, output });
        return;
      }
      const failed = lines.filter(({ result }) => isFailed(result)).length;
      const output = {
        disks: [node.id],
        completed: lines.length - failed,
        failed,
        endedMs: this.#parts.queue.nowMs,
      };
      this.#parts.ledger.outputs.set(jobId, lines);
      this.#parts.dispatch(node, { kind: "output-built", jobId, output });
    });
  }

  #canReach(node: WorldNode, id: InstanceId): boolean {
    const target = this.#parts.findNodes(id).find(({ isAlive }) => isAlive);
    return (
      target?.state.self.hasDisk === true &&
      target.isAlive &&
      !target.isPaused &&
      !this.#parts.network.isCut(node, target)
    );
  }
}

function isFailed(result: StoreResult["result"]): boolean {
  return result.kind === "error" || result.status >= FIRST_ERROR_STATUS;
}
