/**
 * Checks streams over all tries of their callers: which software versions wrote their events, and whether those that
 * callers take up again go on.
 *
 * @module
 */

import type { Attempt } from "./attempts.ts";
import type { Breach, Evidence } from "./judge.ts";
import { readWholeEvents } from "./stream_events.ts";

/** An upstream's instance, and when the store listed it as ready. */
export interface Upstream {
  readonly id: string;
  readonly service: string;
  readonly version: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** Streams that are taken up again must go on half as often as new ones begin; fewer of them are not judged. */
const MIN_TAKEN_UP = 12;
const MIN_RELATIVE_SHARE = 0.5;
/** Upstreams of a stream's version that must serve; with fewer it need not go on. */
const MIN_SAME_VERSION = 2;
/** How long a trouble still excuses a VM after its end: the platform's `contact` bound. */
const CONTACT_BOUND_MS = 6_000;
/** The service that runs all streams. */
const STREAM_SERVICE = "s";

/** Finds streams that hold events of two versions, and a share of streams that go on that is too small. */
export function findVersionBreaches(evidence: Evidence): Breach[] {
  return [...findMixedStreams(evidence), ...findLostStreams(evidence)];
}

/** Nothing excuses these: any VM, in touch or not, may refuse to go on. */
function findMixedStreams({ attempts }: Evidence): Breach[] {
  const triesOf = new Map<string, Attempt[]>();
  for (const attempt of attempts) {
    const firstId = attempt.resumes ?? attempt.id;
    triesOf.set(firstId, [...triesOf.get(firstId) ?? [], attempt]);
  }
  return [...triesOf].flatMap(([firstId, tries]) => {
    const events = tries.flatMap(({ text }) => readWholeEvents(text));
    const versions = new Set(events.map(({ version }) => version));
    if (versions.size < 2) return [];
    const what = `a stream of two versions: ${tries.map(formatTry).join("; ")}`;
    return [{ rule: "ORDER", attempt: firstId, what }];
  });
}

function formatTry({ id, vmIndex, text }: Attempt): string {
  const events = readWholeEvents(text).map((each) =>
    `${each.id} ${each.version}`
  );
  return `${id} at vm ${vmIndex}: ${events.join(", ") || "no event"}`;
}

function findLostStreams(evidence: Evidence): Breach[] {
  const firstTries = new Map(evidence.attempts.map((each) => [each.id, each]));
  const judged = evidence.attempts.filter((attempt) =>
    attempt.kind === "stream" && isInTouch(evidence, attempt) &&
    !wasLeftWithoutEvent(attempt)
  );
  const begun = judged.filter(({ resumes }) => resumes === undefined);
  const takenUp = judged.filter((attempt) => {
    const first = firstTries.get(attempt.resumes ?? "");
    return first !== undefined && isVersionServed(evidence, attempt, first);
  });
  if (takenUp.length < MIN_TAKEN_UP) return [];
  const share = takenUp.filter(hasEvents).length / takenUp.length;
  const newShare = begun.filter(hasEvents).length / Math.max(1, begun.length);
  if (share >= MIN_RELATIVE_SHARE * newShare) return [];
  const what = `${percent(share)} of ${takenUp.length} streams go on, ${
    percent(newShare)
  } of ${begun.length} new ones begin`;
  return [{ rule: "LOST", attempt: "", what }];
}

function percent(share: number): string {
  return `${Math.round(100 * share)}%`;
}

/** Whether at least two upstreams of the version that began a stream served during a later try. */
function isVersionServed(
  { upstreams, troubles }: Evidence,
  { sentMs, endMs }: Attempt,
  first: Attempt,
): boolean {
  const version = readWholeEvents(first.text).at(0)?.version;
  const serving = upstreams.filter((upstream) =>
    upstream.service === STREAM_SERVICE && upstream.version === version &&
    upstream.fromMs <= sentMs && upstream.toMs >= endMs &&
    !troubles.some(({ who, fromMs, toMs }) =>
      who === upstream.id && fromMs <= endMs && toMs >= sentMs
    )
  );
  return serving.length >= MIN_SAME_VERSION;
}

function isInTouch(
  { troubles }: Evidence,
  { vmIndex, sentMs, endMs }: Attempt,
): boolean {
  return !troubles.some(({ who, fromMs, toMs }) =>
    (who === "store" || who === `vm:${vmIndex}`) &&
    fromMs <= endMs && toMs >= sentMs - CONTACT_BOUND_MS
  );
}

function hasEvents({ status, text }: Attempt): boolean {
  return status === 200 && readWholeEvents(text).length > 0;
}

/** Whether its caller canceled it before the first event, so that it isn't known whether it would have begun. */
function wasLeftWithoutEvent(attempt: Attempt): boolean {
  return attempt.canceledMs !== undefined && !hasEvents(attempt);
}
