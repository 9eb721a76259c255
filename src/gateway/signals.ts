/**
 * Notes signals while the program is still starting: until a process has a handler, each of them ends it.
 *
 * @module
 */

/** A signal, or several that ask for the same, and what to do on it once the program can. */
class NotedSignal {
  readonly #names: readonly NodeJS.Signals[];
  #isPending = false;
  #handle = () => {
    this.#isPending = true;
  };

  constructor(...names: readonly NodeJS.Signals[]) {
    this.#names = names;
  }

  /** Notes the signal from now on. */
  note(): void {
    for (const name of this.#names) process.on(name, () => this.#handle());
  }

  /** Sets what to do on the signal, and does it at once if the signal came before. */
  handle(run: () => void): void {
    this.#handle = run;
    if (this.#isPending) run();
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

/** Sets how to stop as planned, on the first SIGTERM or SIGINT; later ones change nothing. */
export function onStop(run: () => void): void {
  let isStopping = false;
  stops.handle(() => {
    if (isStopping) return;
    isStopping = true;
    run();
  });
}
