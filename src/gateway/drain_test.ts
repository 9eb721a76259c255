import { describe, it } from "../base/describe.ts";
import { ManualClock } from "../base/mod.ts";
import { drain, type DrainContext, type DrainListeners } from "./drain.ts";

const GRACE_MS = 8_000;
/** When requests that are still open are ended. */
const END_MS = 7_300;
const MIN_DRAIN_MS = 4_000;
const STEP_MS = 10;

class FakeListeners implements DrainListeners {
  openAnswers = 0;
  closeIdleConnections(): void {}
}

interface DrainLab {
  readonly clock: ManualClock;
  readonly context: DrainContext;
  readonly listeners: FakeListeners;
  /** Events of the log, with the times since the stop signal. */
  readonly events: string[];
}

function openLab(): DrainLab {
  const clock = new ManualClock();
  const startMs = clock.monoMs();
  const events: string[] = [];
  const note = (event: string) =>
    void events.push(`${event} ${clock.monoMs() - startMs}`);
  const log = { info: note, warn: note, error: note, debug: note, log: note };
  const context = {
    clock,
    log,
    settings: { bounds: { graceMs: GRACE_MS } },
    members: { reportNow: () => {} },
    openCalls: new Set(),
    isDraining: false,
    drainStartMonoMs: Infinity,
    endMonoMs: Infinity,
  } as unknown as DrainContext;
  return { clock, context, listeners: new FakeListeners(), events };
}

async function advance({ clock }: DrainLab, ms: number): Promise<void> {
  for (let i = 0; i < ms; i += STEP_MS) await clock.advance(STEP_MS);
}

describe("a planned stop", () => {
  // Guards against requests that are cut off without an answer when the time is over.
  it("ends open requests shortly before the kill, and waits until their answers are written out", async (t) => {
    const lab = openLab();
    let stoppedAtMs = Infinity;
    lab.listeners.openAnswers = 1;
    lab.context.openCalls.add({
      leaveSilentUpstream: () => {},
      stop: () => void (stoppedAtMs = lab.clock.monoMs()),
    });
    const startMs = lab.clock.monoMs();
    const drained = drain(lab.context, lab.listeners);
    await advance(lab, END_MS + 100);
    t.true(Math.abs(stoppedAtMs - startMs - END_MS) <= 50);
    t.deepEqual(lab.events, ["leaving 0"]);
    lab.listeners.openAnswers = 0;
    await advance(lab, 50);
    await drained;
    t.is(lab.events.length, 2);
  });

  // Guards against one request by which all others lose their answers.
  it("ends the other open requests if one can't be ended", async (t) => {
    const lab = openLab();
    let stopped = 0;
    const leaveSilentUpstream = () => {};
    const fail = () => {
      throw new Error("boom");
    };
    lab.listeners.openAnswers = 1;
    lab.context.openCalls.add({ leaveSilentUpstream, stop: fail });
    lab.context.openCalls.add({ leaveSilentUpstream, stop: () => stopped++ });
    const drained = drain(lab.context, lab.listeners);
    await advance(lab, GRACE_MS - 300);
    await drained;
    t.is(stopped, 1);
  });

  it("is over before the kill though an answer can't be written out", async (t) => {
    const lab = openLab();
    lab.listeners.openAnswers = 1;
    const drained = drain(lab.context, lab.listeners);
    await advance(lab, GRACE_MS - 300);
    await drained;
    t.is(lab.events.length, 2);
  });

  // Guards against answers that are cut off as their requests were already over.
  it("goes on while an answer is not written out, though no request is open", async (t) => {
    const lab = openLab();
    lab.listeners.openAnswers = 1;
    const drained = drain(lab.context, lab.listeners);
    await advance(lab, MIN_DRAIN_MS + 1_000);
    t.is(lab.events.length, 1);
    lab.listeners.openAnswers = 0;
    await advance(lab, 200);
    await drained;
    t.is(lab.events.length, 2);
  });

  // Guards against requests that are accepted while the services close, and are cut off.
  it("leaves no time for requests that arrive once it is over, also where it is over early", async (t) => {
    const lab = openLab();
    const drained = drain(lab.context, lab.listeners);
    await advance(lab, MIN_DRAIN_MS + 200);
    await drained;
    t.true(lab.context.endMonoMs <= lab.clock.monoMs());
  });

  // Guards against a stop that outlasts its time, so that the kill cuts off what is open.
  it("counts its time from the signal, which came while the process was starting", async (t) => {
    const lab = openLab();
    const signalMs = lab.clock.monoMs();
    await advance(lab, 3_000);
    lab.listeners.openAnswers = 1;
    let stoppedAtMs = Infinity;
    lab.context.openCalls.add({
      leaveSilentUpstream: () => {},
      stop: () => void (stoppedAtMs = lab.clock.monoMs()),
    });
    const drained = drain(lab.context, lab.listeners, signalMs);
    await advance(lab, END_MS - 3_000 + 100);
    t.true(stoppedAtMs - signalMs <= END_MS + 50, `${stoppedAtMs - signalMs}`);
    lab.listeners.openAnswers = 0;
    await advance(lab, 100);
    await drained;
  });
});
