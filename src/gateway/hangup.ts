/**
 * Notes SIGHUP while the program is still starting: until a process has a handler, the signal ends it.
 *
 * @module
 */

let isPending = false;
let handle = () => {
  isPending = true;
};

/** Notes the signal from now on. */
export function noteHangups(): void {
  process.on("SIGHUP", () => handle());
}

/** Sets what to do on SIGHUP, and does it at once if the signal came before. */
export function onHangup(run: () => void): void {
  handle = run;
  if (isPending) run();
}
