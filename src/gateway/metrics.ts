/**
 * Counters, gauges and latency histograms, as a Prometheus text page.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";

/** Longest time that is recorded, in ms; a longer one counts as this. */
const MAX_TIME_MS = 60_000;
const QUANTILES = [0.5, 0.95, 0.99];

/** The times that are recorded. */
export type TimedMetric =
  | "first_byte"
  | "between_chunks"
  | "total"
  | "relay_first_byte"
  | "peer_answer"
  | "place"
  | "queue"
  | "loop_lag";

/** Collects the counters, gauges and histograms. Names and labels are listed in docs/OPERATIONS.md. */
export class GatewayMetrics {
  readonly #counters = new Map<string, number>();
  readonly #histograms = new Map<string, Histogram>();
  readonly #gauges = new Map<string, () => number>();

  /** Adds one to a counter; `labels` are Prometheus labels. */
  count(name: string, labels: string): void {
    const key = `ibisgap_${name}_total{${labels}}`;
    this.#counters.set(key, (this.#counters.get(key) ?? 0) + 1);
  }

  /** Shows a value that is read whenever the page is rendered. */
  gauge(name: string, labels: string, read: () => number): void {
    this.#gauges.set(`ibisgap_${name}{${labels}}`, read);
  }

  /** Records a time. */
  recordTime(name: TimedMetric, labels: string, ms: number): void {
    const key = `${name}|${labels}`;
    let histogram = this.#histograms.get(key);
    if (!histogram) {
      histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAX_TIME_MS,
        numberOfSignificantValueDigits: 2,
      });
      this.#histograms.set(key, histogram);
    }
    histogram.recordValue(Math.min(MAX_TIME_MS, Math.max(0, Math.round(ms))));
  }

  /** Renders the Prometheus text page. */
  renderPage(): string {
    const lines = [...this.#counters].map(([key, value]) => `${key} ${value}`);
    for (const [key, read] of this.#gauges) {
      lines.push(`${key} ${formatNumber(read())}`);
    }
    for (const [key, histogram] of this.#histograms) {
      const [name, labels] = key.split("|");
      for (const quantile of QUANTILES) {
        lines.push(
          `ibisgap_${name}_ms{${labels},quantile="${quantile}"} ${
            histogram.getValueAtPercentile(quantile * 100)
          }`,
        );
      }
      lines.push(`ibisgap_${name}_ms_count{${labels}} ${histogram.totalCount}`);
    }
    return lines.sort().join("\n") + "\n";
  }
}

/** Prometheus has a spelling of its own for infinity. */
function formatNumber(value: number): string {
  return value === Infinity ? "+Inf" : String(value);
}
