/**
 * Which upstreams a request may be sent to now.
 *
 * @module
 */

/** The state of an upstream that keeps requests from it for a while; see {@link StepCandidate}. */
export interface Usability {
  readonly isAside: boolean;
  readonly isWithinColdRate: boolean;
  readonly restLeftMs: number;
}

/** Whether a request may be sent there: it neither rests nor is set aside, nor is cold and at its rate. */
export function isUsable(
  { isAside, isWithinColdRate, restLeftMs }: Usability,
): boolean {
  return !isAside && isWithinColdRate && restLeftMs <= 0;
}

/** Returns the upstreams that may be sent a request: the same list if that is all of them, as is usual. */
export function listUsable<U extends Usability>(
  upstreams: readonly U[],
): readonly U[] {
  for (const upstream of upstreams) {
    if (!isUsable(upstream)) return upstreams.filter(isUsable);
  }
  return upstreams;
}
