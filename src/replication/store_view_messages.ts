/**
 * The messages by which other services ask the view of the store, and give it what other VMs know.
 *
 * @module
 */

import type { ReplicaStates } from "../region/mod.ts";
import type { ConfigNews } from "./config_in_force.ts";
import type { AdoptOutcome, News, NewsRequest } from "./replica.ts";

/** The two sets of entries that are followed. */
export type NewsTopic = keyof ReplicaStates;

/** Messages of the service; its name is `beliefs`. */
export type StoreViewMessages = {
  /** Returns what another VM lacks. */
  news: {
    in: NewsRequest & { readonly matter: NewsTopic };
    out: News;
  };
  /** Returns the configuration in force here; `null` if there is none. */
  config: { in: Record<string, never>; out: ConfigNews | null };
  /** Applies the configuration in force on another VM, which announced it with `version`. */
  adoptConfig: {
    in: {
      readonly news: ConfigNews;
      readonly version: number;
      readonly from: string;
    };
    out: void;
  };
  /** Applies news from another VM. */
  adopt: {
    in: {
      readonly matter: NewsTopic;
      readonly news: News;
      readonly from: string;
    };
    out: AdoptOutcome;
  };
};
