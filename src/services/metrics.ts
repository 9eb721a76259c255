/**
 * Metrics: counters by result, and `hdr-histogram-js` histograms of what callers waited, as a Prometheus text page.
 *
 * @module
 */

import { build, type BuildRequest, type Histogram } from "hdr-histogram-js";
import { type Kernel, Task } from "../kernel/mod.ts";

/** What became of one request. */
export interface RequestMeasure {
  readonly service: string;
  readonly region: string;
  /** Result code; 0 for success. */
  readonly code: number;
  readonly queuedMs?: number;
  readonly firstTokenMs?: number;
  /** Waits between the answer's events. */
  readonly gapsMs?: readonly number[];
  readonly outputTokens?: number;
  readonly servedElsewhere?: boolean;
}

/** What the metrics service answers; its name is `metrics`. */
export type MetricsMessages = {
  request: { in: RequestMeasure; out: void };
  /** Adds to a counter of the daemon, for example a dropped late answer. */
  count: { in: { readonly name: string; readonly by?: number }; out: void };
  /** The Prometheus text page. */
  page: { in: void; out: string };
};

const MEASURES = ["first_token", "between_tokens", "queue_wait"] as const;
type Measure = typeof MEASURES[number];
const QUANTILES = [0.5, 0.95, 0.99];
/** Longest time told apart: an hour. Two digits keep one histogram below 20 KB. */
const MOST_MS = 3_600_000;
const HISTOGRAM: BuildRequest = {
  lowestDiscernibleValue: 1,
  highestTrackableValue: MOST_MS,
  numberOfSignificantValueDigits: 2,
};

/** See {@link MetricsMessages}. */
export class MetricsService extends Task<MetricsMessages> {
  readonly name = "metrics";
  readonly #counters = new Map<string, number>();
  readonly #histograms = new Map<string, Histogram>();

  protected readonly handlers = {
    request: (measure: RequestMeasure) => this.#record(measure),
    count: ({ name, by }: MetricsMessages["count"]["in"]) =>
      this.#add(`ibisgap_${name}_total`, by ?? 1),
    page: () => this.#page(),
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

  #record(measure: RequestMeasure): void {
    const labels = `service="${measure.service}",region="${measure.region}"`;
    this.#add(`ibisgap_requests_total{${labels},code="${measure.code}"}`, 1);
    if (measure.outputTokens) {
      this.#add(`ibisgap_output_tokens_total{${labels}}`, measure.outputTokens);
    }
    if (measure.servedElsewhere) {
      this.#add(`ibisgap_sent_away_total{${labels}}`, 1);
    }
    if (measure.queuedMs !== undefined) {
      this.#time("queue_wait", labels, measure.queuedMs);
    }
    if (measure.firstTokenMs !== undefined) {
      this.#time("first_token", labels, measure.firstTokenMs);
    }
    for (const gapMs of measure.gapsMs ?? []) {
      this.#time("between_tokens", labels, gapMs);
    }
  }

  #add(name: string, by: number): void {
    this.#counters.set(name, (this.#counters.get(name) ?? 0) + by);
  }

  #time(measure: Measure, labels: string, ms: number): void {
    const key = `${measure}|${labels}`;
    let histogram = this.#histograms.get(key);
    if (!histogram) {
      histogram = build(HISTOGRAM);
      this.#histograms.set(key, histogram);
    }
    histogram.recordValue(
      Math.min(MOST_MS, Math.max(0, Math.round(ms))),
    );
  }

  #page(): string {
    const lines: string[] = [];
    for (const [name, value] of this.#counters) lines.push(`${name} ${value}`);
    for (const [key, histogram] of this.#histograms) {
      const [measure, labels] = key.split("|");
      for (const quantile of QUANTILES) {
        const ms = histogram.getValueAtPercentile(quantile * 100);
        lines.push(
          `ibisgap_${measure}_ms{${labels},quantile="${quantile}"} ${ms}`,
        );
      }
      lines.push(
        `ibisgap_${measure}_ms_count{${labels}} ${histogram.totalCount}`,
      );
    }
    return lines.sort().join("\n") + "\n";
  }
}
