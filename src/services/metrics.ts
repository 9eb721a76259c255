/**
 * Metrics: counters by result code, and `hdr-histogram-js` histograms of callers' waits, as a Prometheus text page.
 *
 * @module
 */

import { build, type BuildRequest, type Histogram } from "hdr-histogram-js";
import { type Kernel, Task } from "../kernel/mod.ts";

/** The outcome of one request. */
export interface RequestMetrics {
  readonly service: string;
  readonly region: string;
  /** The result code, 0 for success. */
  readonly code: number;
  readonly queuedMs?: number;
  readonly firstTokenMs?: number;
  /** The waits between the events of the answer. */
  readonly gapsMs?: readonly number[];
  readonly outputTokens?: number;
  readonly servedElsewhere?: boolean;
}

/** The messages of the metrics service, named `metrics`. */
export type MetricsMessages = {
  request: { in: RequestMetrics; out: void };
  /** Increments a counter of the daemon, for example of late answers that were dropped. */
  count: { in: { readonly name: string; readonly by?: number }; out: void };
  /** The Prometheus text page. */
  page: { in: void; out: string };
};

const TIMINGS = ["first_token", "between_tokens", "queue_wait"] as const;
type Timing = typeof TIMINGS[number];
const QUANTILES = [0.5, 0.95, 0.99];
/** The longest duration in a histogram, an hour; longer ones count as this. Two digits keep a histogram below 20 KB. */
const MAX_DURATION_MS = 3_600_000;
const HISTOGRAM_OPTIONS: BuildRequest = {
  lowestDiscernibleValue: 1,
  highestTrackableValue: MAX_DURATION_MS,
  numberOfSignificantValueDigits: 2,
};

/** Counts and times requests. See {@link MetricsMessages}. */
export class MetricsService extends Task<MetricsMessages> {
  readonly name = "metrics";
  readonly #counters = new Map<string, number>();
  readonly #histograms = new Map<string, Histogram>();

  protected readonly handlers = {
    request: (metrics: RequestMetrics) => this.#recordRequest(metrics),
    count: ({ name, by }: MetricsMessages["count"]["in"]) =>
      this.#increment(`ibisgap_${name}_total`, by ?? 1),
    page: () => this.#renderPage(),
  };

  start(_kernel: Kernel): Promise<void> {
    return Promise.resolve();
  }

  close(_deadlineMs: number): Promise<void> {
    return Promise.resolve();
  }

  dump(): unknown {
    return Object.fromEntries(this.#counters);
  }

  #recordRequest(metrics: RequestMetrics): void {
    const labels = `service="${metrics.service}",region="${metrics.region}"`;
    this.#increment(
      `ibisgap_requests_total{${labels},code="${metrics.code}"}`,
      1,
    );
    if (metrics.outputTokens) {
      this.#increment(
        `ibisgap_output_tokens_total{${labels}}`,
        metrics.outputTokens,
      );
    }
    if (metrics.servedElsewhere) {
      this.#increment(`ibisgap_sent_away_total{${labels}}`, 1);
    }
    if (metrics.queuedMs !== undefined) {
      this.#recordTiming("queue_wait", labels, metrics.queuedMs);
    }
    if (metrics.firstTokenMs !== undefined) {
      this.#recordTiming("first_token", labels, metrics.firstTokenMs);
    }
    for (const gapMs of metrics.gapsMs ?? []) {
      this.#recordTiming("between_tokens", labels, gapMs);
    }
  }

  #increment(name: string, by: number): void {
    this.#counters.set(name, (this.#counters.get(name) ?? 0) + by);
  }

  #recordTiming(timing: Timing, labels: string, ms: number): void {
    const key = `${timing}|${labels}`;
    let histogram = this.#histograms.get(key);
    if (!histogram) {
      histogram = build(HISTOGRAM_OPTIONS);
      this.#histograms.set(key, histogram);
    }
    histogram.recordValue(
      Math.min(MAX_DURATION_MS, Math.max(0, Math.round(ms))),
    );
  }

  #renderPage(): string {
    const lines: string[] = [];
    for (const [name, value] of this.#counters) lines.push(`${name} ${value}`);
    for (const [key, histogram] of this.#histograms) {
      const [timing, labels] = key.split("|");
      for (const quantile of QUANTILES) {
        const ms = histogram.getValueAtPercentile(quantile * 100);
        lines.push(
          `ibisgap_${timing}_ms{${labels},quantile="${quantile}"} ${ms}`,
        );
      }
      lines.push(
        `ibisgap_${timing}_ms_count{${labels}} ${histogram.totalCount}`,
      );
    }
    return lines.sort().join("\n") + "\n";
  }
}
