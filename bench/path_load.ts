/**
 * The callers of the path bench: a number of streams in a closed loop, counted with as little work as possible.
 *
 * @module
 */

import { Agent, type IncomingMessage, request } from "node:http";
import { build, type Histogram } from "hdr-histogram-js";

/** The load to generate, and the URLs that it goes to. */
export interface Load {
  /** Base URLs, used in turn. */
  readonly urls: readonly string[];
  readonly key: string;
  readonly model: string;
  readonly streams: number;
  /** Tokens in each response. */
  readonly tokens: number;
  /** Time over which the streams start one after the other, so that their ends are spread too. */
  readonly rampMs: number;
  /** How long the load is counted, once all streams have started and the code is warm. */
  readonly measureMs: number;
  /** Called when counting begins. */
  readonly onMeasureStart?: () => void;
}

/** What the callers measured. */
export interface LoadResult {
  /** Time from the call to the first event, in microseconds. */
  readonly firstEventUs: Histogram;
  readonly tokensPerS: number;
  readonly requests: number;
  readonly failed: number;
}

const EVENT_END = Buffer.from("\n\n");
const DONE_EVENT = "data: [DONE]\n\n";
/** The last events of a response, which carry no tokens: its finish event and `[DONE]`. */
const NON_TOKEN_EVENTS = 2;
const WARM_UP_MS = 2000;

/** Calls until a response is complete, because a gateway that has just started may refuse at first. */
export async function waitUntilServed(load: Load): Promise<void> {
  const callers = new Callers(load);
  while (!await callers.tryOnce()) await sleep(100);
}

/** Runs the load once and returns what the callers measured. */
export async function runLoad(load: Load): Promise<LoadResult> {
  const callers = new Callers(load);
  return await callers.run();
}

class Callers {
  readonly #load: Load;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: Infinity });
  readonly #firstEventUs = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });
  #isCounting = false;
  #isStopped = false;
  #events = 0;
  #requests = 0;
  #failed = 0;
  #calls = 0;

  constructor(load: Load) {
    this.#load = load;
  }

  async run(): Promise<LoadResult> {
    const { streams, rampMs, measureMs, onMeasureStart } = this.#load;
    const loops = Array.from(
      { length: streams },
      (_, n) => this.#loop(n * rampMs / streams),
    );
    await sleep(rampMs + WARM_UP_MS);
    this.#isCounting = true;
    onMeasureStart?.();
    const startMs = performance.now();
    await sleep(measureMs);
    this.#isCounting = false;
    const elapsedS = (performance.now() - startMs) / 1000;
    this.#isStopped = true;
    await Promise.all(loops);
    this.#agent.destroy();
    return {
      firstEventUs: this.#firstEventUs,
      tokensPerS: this.#events / elapsedS,
      requests: this.#requests,
      failed: this.#failed,
    };
  }

  async tryOnce(): Promise<boolean> {
    return await this.#call().catch(() => false);
  }

  async #loop(delayMs: number): Promise<void> {
    await sleep(delayMs);
    while (!this.#isStopped) {
      const isComplete = await this.#call().catch(() => false);
      if (this.#isCounting) this.#requests++;
      if (!isComplete) this.#failed++;
    }
  }

  /** Makes one call and returns whether its response was complete. */
  #call(): Promise<boolean> {
    const { urls, key, model, tokens } = this.#load;
    const url = urls[this.#calls++ % urls.length];
    const startMs = performance.now();
    const isCounted = this.#isCounting;
    const call = request(`${url}/v1/chat/completions`, {
      method: "POST",
      agent: this.#agent,
      headers: {
        "content-type": "application/json",
        authorization: `Bearer ${key}`,
      },
    });
    const content = `nonce:n${this.#calls}`;
    const messages = [{ role: "user", content }];
    const body = { model, messages, max_tokens: tokens, stream: true };
    return new Promise((resolve, reject) => {
      call.on("error", reject);
      call.on("response", (answer) => {
        answer.once("data", () => {
          if (!isCounted) return;
          this.#firstEventUs.recordValue((performance.now() - startMs) * 1000);
        });
        resolve(this.#readAnswer(answer));
      });
      call.end(JSON.stringify(body));
    });
  }

  async #readAnswer(answer: IncomingMessage): Promise<boolean> {
    let events = 0;
    let tail = "";
    for await (const chunk of answer as AsyncIterable<Buffer>) {
      const count = countEvents(chunk);
      events += count;
      if (this.#isCounting) this.#events += count;
      tail = (tail + chunk.toString("latin1", chunk.length - DONE_EVENT.length))
        .slice(-DONE_EVENT.length);
    }
    return tail === DONE_EVENT &&
      events === this.#load.tokens + NON_TOKEN_EVENTS;
  }
}

/** Counts the ends of events in a chunk. An end that is split between two chunks is missed, at most one per chunk. */
function countEvents(chunk: Buffer): number {
  let count = 0;
  for (
    let at = chunk.indexOf(EVENT_END);
    at >= 0;
    at = chunk.indexOf(EVENT_END, at + EVENT_END.length)
  ) count++;
  return count;
}

function sleep(waitMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, waitMs));
}
