/**
 * Notes signals while the program is still starting: until a process has a handler, each of them ends it.
 *
 * @module
 */

/** A signal, or several that ask for the same, and what to do on it once the program can. */
class NotedSignal {
  readonly #names: readonly NodeJS.Signals[];
  /** When it came first, on the monotonic clock; `undefined` if it has not come or has been handled. */
  #pendingMonoMs: number | undefined;
  #handle = (monoMs: number) => {
    this.#pendingMonoMs ??= monoMs;
  };

  constructor(...names: readonly NodeJS.Signals[]) {
    this.#names = names;
  }

  /** Notes the signal from now on. */
  note(): void {
    for (const name of this.#names) {
      process.on(name, () => this.#handle(performance.now()));
    }
  }

  /** Sets what to do on the signal, with the time when it came, and does it at once if the signal came before. */
  handle(run: (monoMs: number) => void): void {
    this.#handle = run;
    if (this.#pendingMonoMs !== undefined) run(this.#pendingMonoMs);
  }
}

const hangups = new NotedSignal("SIGHUP");
const stops = new NotedSignal("SIGTERM", "SIGINT");

/** Notes all signals from now on. */
export function noteSignals(): void {
  hangups.note();
  stops.note();
}

/** Sets what to do on SIGHUP. */
export function onHangup(run: () => void): void {
  hangups.handle(run);
}

/**
 * Sets how to stop as planned, on the first SIGTERM or SIGINT; later ones change nothing. The time to stop counts from
 * that signal, also if the program was still starting.
 */
export function onStop(run: (signalMonoMs: number) => void): void {
  let isStopping = false;
  stops.handle((monoMs) => {
    if (isStopping) return;
    isStopping = true;
    run(monoMs);
  });
}
