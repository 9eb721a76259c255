/**
 * What every request of a VM shares.
 *
 * @module
 */

import { type Clock, Random } from "../base/mod.ts";
import type { Log } from "../kernel/mod.ts";
import { type RepeatBounds, RepeatBudget } from "../routing/mod.ts";
import type { Beliefs } from "./beliefs.ts";
import { BodyMemory } from "./body.ts";
import type { Losses } from "./losses.ts";
import type { Members } from "./members.ts";
import type { Placing } from "./placing.ts";
import type { Quotas } from "./quotas.ts";
import type { Relays } from "./relays.ts";
import type { GatewayMetrics } from "./metrics.ts";
import type { GatewaySettings } from "./settings.ts";
import type { Suspects } from "./suspects.ts";
import { Turns } from "./turns.ts";
import type { Upstreams } from "./upstreams.ts";

/** Share of a VM's memory that bodies may take; the process itself needs about a third. */
const BODY_MEMORY_SHARE = 0.25;
const BYTES_PER_MB = 1_000_000;

/** See the module. */
export class GatewayContext {
  /** Replaced as a whole when the settings change. */
  settings: GatewaySettings;
  readonly clock: Clock;
  readonly log: Log;
  readonly beliefs: Beliefs;
  readonly members: Members;
  readonly upstreams: Upstreams;
  readonly relays: Relays;
  readonly placing: Placing;
  readonly quotas: Quotas;
  readonly metrics: GatewayMetrics;
  readonly losses: Losses;
  readonly suspects: Suspects;
  readonly random = new Random(process.pid ^ Date.now());
  readonly bodies: BodyMemory;
  readonly turns: Turns;
  /** Whether this VM is being stopped. */
  isLeaving = false;
  /** When the signal to stop came, on the monotonic clock. */
  leavingMonoMs = Infinity;
  /** When the process ends, on the monotonic clock. */
  endMonoMs = Infinity;
  /** Requests under way. */
  open = 0;
  readonly #budgets = new Map<string, RepeatBudget>();

  constructor(
    parts: Pick<
      GatewayContext,
      | "settings"
      | "clock"
      | "log"
      | "beliefs"
      | "members"
      | "upstreams"
      | "relays"
      | "placing"
      | "quotas"
      | "metrics"
      | "losses"
      | "suspects"
    >,
  ) {
    this.settings = parts.settings;
    this.clock = parts.clock;
    this.log = parts.log;
    this.beliefs = parts.beliefs;
    this.members = parts.members;
    this.upstreams = parts.upstreams;
    this.relays = parts.relays;
    this.placing = parts.placing;
    this.quotas = parts.quotas;
    this.metrics = parts.metrics;
    this.losses = parts.losses;
    this.suspects = parts.suspects;
    this.turns = new Turns(parts.clock);
    this.bodies = new BodyMemory(
      parts.settings.vm.memoryMb * BYTES_PER_MB * BODY_MEMORY_SHARE,
    );
  }

  /** The budget of repeats of a service. */
  budget(service: string): RepeatBudget {
    let budget = this.#budgets.get(service);
    if (!budget) {
      const { repeatRatio, repeatSlack, repeatWindowMs } = this.settings.bounds;
      const bounds: RepeatBounds = {
        ratio: repeatRatio,
        slack: repeatSlack,
        windowMs: repeatWindowMs,
      };
      budget = new RepeatBudget(bounds);
      this.#budgets.set(service, budget);
    }
    return budget;
  }
}
