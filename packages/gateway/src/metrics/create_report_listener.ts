import { listBlockFields } from "../crashes/list_block_fields.ts";
import type { FleetView } from "../fleet/fleet_view.ts";
import { StatusListener } from "../http/status_listener.ts";
import { answerQuestion } from "../placing/answer_question.ts";
import { listRolloutFigures } from "../rollouts/list_rollout_figures.ts";
import type { GatewayMetrics, GaugeName } from "./create_gateway_metrics.ts";

type ReportParts = {
  readonly metrics: GatewayMetrics;
  readonly view: FleetView;
  /** Connections that may be open at once. */
  readonly maxConnections: number;
  /** Returns the current values of gauges beside those of the view. */
  readonly listGauges: () => Readonly<Partial<Record<GaugeName, number>>>;
};

const METRICS_PATH = "/metrics";
const BLOCKS_PATH = "/blocks";
const PLACE_PATH = "/place";
const OK = 200;

/** Creates the listener that shows operators the metrics, blocks and placements. */
export function createReportListener(parts: ReportParts): StatusListener {
  const { metrics, view, maxConnections, listGauges } = parts;
  return new StatusListener(maxConnections, {
    [BLOCKS_PATH]: () => ({
      status: OK,
      text: JSON.stringify(view.crashes.blocks.map(listBlockFields)),
    }),
    [PLACE_PATH]: (query) => answerQuestion(view, query),
    [METRICS_PATH]: async () => {
      const unusual = view.speeds.countUnusual(view.readNowMs());
      const gauges = {
        ...listGauges(),
        prompt_blocks: view.crashes.blocks.length,
        upstreams_known: view.directory.count(),
        upstreams_slow: unusual.slow,
        upstreams_fast: unusual.fast,
      };
      Object.entries(gauges).forEach(([name, value]) => {
        metrics.setGauge(name as GaugeName, value);
      });
      metrics.setRollouts(listRolloutFigures(view));
      return { status: OK, text: await metrics.render() };
    },
  });
}
