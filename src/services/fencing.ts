/**
 * The fencing service: sends orders to engines with fencing numbers from the store. An order states the wanted state,
 * so sending it again changes nothing.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import type { KeyValue, UpstreamClient } from "../adapters/mod.ts";
import {
  canSend,
  DEFAULT_FENCE_LIMITS,
  fenceKey,
  type FenceLimits,
  type FenceRecord,
  type HeldFence,
  makeHeldFence,
  nextFenceStep,
  parseFence,
  type SeenFence,
  type UpstreamRow,
  type VmRef,
} from "../agreement/mod.ts";
import {
  type Clock,
  type CodeName,
  type Failure,
  failure,
} from "../base/mod.ts";
import { type Handlers, type Kernel, Task } from "../kernel/mod.ts";
import type { EngineOrder, FencingMessages } from "./messages.ts";

const FENCE_HEADER = "x-fencing-token";
const RETRY_MS = 200;

/** Options of {@link FencingService}. */
export interface FencingOptions {
  readonly me: VmRef;
  readonly store: KeyValue;
  readonly upstreams: UpstreamClient;
  readonly limits?: FenceLimits;
}

/** Acquires fencing numbers and sends orders with them. */
export class FencingService extends Task<FencingMessages> {
  readonly name = "fencing";
  readonly #options: FencingOptions;
  readonly #limits: FenceLimits;
  readonly #seenFences = new Map<string, SeenFence>();
  readonly #heldFences = new Map<string, HeldFence>();
  #clock!: Clock;

  protected readonly handlers: Handlers<FencingMessages> = {
    order: (input) =>
      this.#sendUnderFence(input.upstream, input.order, input.deadlineMs),
  };

  constructor(options: FencingOptions) {
    super();
    this.#options = options;
    this.#limits = options.limits ?? DEFAULT_FENCE_LIMITS;
  }

  start(kernel: Kernel): Promise<void> {
    this.#clock = kernel.clock;
    return Promise.resolve();
  }

  /** Releases the leases, so that the next VM does not have to wait until they expire. */
  async close(deadlineMs: number): Promise<void> {
    const held = [...this.#heldFences];
    this.#heldFences.clear();
    for (const [upstreamId, { record, rev }] of held) {
      if (this.#clock.nowMs() >= deadlineMs) return;
      const { holder: _holder, ...rest } = record;
      await this.#writeRecord(
        upstreamId,
        { ...rest, beat: record.beat + 1 },
        rev,
      );
    }
  }

  dump(): unknown {
    return {
      held: [...this.#heldFences].map(([upstreamId, { number }]) => ({
        upstreamId,
        number,
      })),
    };
  }

  async #sendUnderFence(
    upstream: UpstreamRow,
    order: EngineOrder,
    deadlineMs: number,
  ): Promise<Result<{ readonly fence: number }, Failure>> {
    while (this.#clock.nowMs() < deadlineMs) {
      const held = await this.#acquireFence(upstream);
      if (held.isOk()) {
        return await this.#sendOrder(upstream, order, held.value);
      }
      if (held.error.code === "storeUnavailable") return err(held.error);
      await this.#clock.sleep(RETRY_MS);
    }
    return err(
      this.#retryableFailure("staleFence", "another VM holds the number"),
    );
  }

  /** Returns a number with which orders may be sent now. Acquires or renews it in the store if necessary. */
  async #acquireFence(
    upstream: UpstreamRow,
  ): Promise<Result<HeldFence, Failure>> {
    const known = this.#heldFences.get(upstream.id);
    if (known && canSend(known, this.#clock.monoMs())) return ok(known);
    const { id } = upstream;
    const seen = await this.#readFence(id);
    if (seen.isErr()) return err(seen.error);
    const sentMonoMs = this.#clock.monoMs();
    const step = nextFenceStep(
      seen.value,
      this.#options.me,
      upstream.checksFence,
      sentMonoMs,
      this.#limits,
    );
    if (step.type === "wait") {
      return err(
        this.#retryableFailure("staleFence", "another VM holds the number"),
      );
    }
    const rev = await this.#writeRecord(id, step.record, seen.value.rev);
    // If the write took effect and its answer was lost, the next attempt finds this VM in the record and renews it.
    if (rev === undefined) {
      return err(
        this.#retryableFailure("staleFence", "the number is not settled"),
      );
    }
    const held = makeHeldFence(step.record, rev, sentMonoMs, this.#limits);
    this.#heldFences.set(id, held);
    return ok(held);
  }

  async #readFence(upstreamId: string): Promise<Result<SeenFence, Failure>> {
    const found = await this.#options.store.get(
      fenceKey(upstreamId),
      "fencing",
    );
    const parsed = found.isOk() && found.value
      ? parseFence(found.value.value)
      : undefined;
    if (found.isErr()) {
      return err(
        this.#retryableFailure("storeUnavailable", found.error.message),
      );
    }
    if (parsed?.isErr()) {
      return err(this.#retryableFailure("storeUnavailable", parsed.error));
    }
    const rev = found.value?.rev ?? 0;
    const known = this.#seenFences.get(upstreamId);
    const sinceMonoMs = known?.rev === rev
      ? known.sinceMonoMs
      : this.#clock.monoMs();
    const record = parsed?.isOk() ? parsed.value : undefined;
    const seen = { record, rev, sinceMonoMs };
    this.#seenFences.set(upstreamId, seen);
    return ok(seen);
  }

  async #writeRecord(
    upstreamId: string,
    record: FenceRecord,
    ifRev: number,
  ): Promise<number | undefined> {
    const written = await this.#options.store.put(
      fenceKey(upstreamId),
      JSON.stringify(record),
      { ifRev },
      "fencing",
    );
    return written.isOk() ? written.value : undefined;
  }

  async #sendOrder(
    upstream: UpstreamRow,
    order: EngineOrder,
    held: HeldFence,
  ): Promise<Result<{ readonly fence: number }, Failure>> {
    const { upstreams } = this.#options;
    const abort = new AbortController();
    // This is checked right before sending: a VM that was paused after it acquired the number must not use it.
    if (!canSend(held, this.#clock.monoMs())) {
      return err(this.#retryableFailure("staleFence", "the lease ran out"));
    }
    const timer = this.#clock.after(
      this.#limits.orderMs,
      () => abort.abort(),
    );
    const answer = await upstreams.open({
      url: upstream.url,
      path: "/orders",
      method: "POST",
      headers: {
        "content-type": "application/json",
        [FENCE_HEADER]: String(held.number),
      },
      body: Buffer.from(JSON.stringify(order)),
    }, abort.signal);
    timer.close();
    if (answer.isErr()) {
      return err(failure("upstreamFailed", { message: answer.error.message }));
    }
    const { httpStatus, body } = answer.value;
    body.destroy();
    if (httpStatus < 300) return ok({ fence: held.number });
    if (httpStatus !== 409) {
      return err(failure("upstreamRefused", { message: `${httpStatus}` }));
    }
    this.#heldFences.delete(upstream.id);
    return err(failure("staleFence"));
  }

  #retryableFailure(code: CodeName, message: string): Failure {
    const retryAtMs = this.#clock.nowMs() + RETRY_MS;
    return failure(code, { message, retryAtMs });
  }
}
