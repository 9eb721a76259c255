/**
 * Explains one request: its log lines and the cause of its outcome.
 *
 * @module
 */

import { findConfigHistory } from "./config_history.ts";
import type { ParsedLine } from "./log_line.ts";

/** The log lines of a request and the cause of its outcome. */
export interface Explanation {
  readonly attempt: string;
  /** The lines of the request, and of events meanwhile at the upstreams and VMs that it was sent to, in order of time. */
  readonly lines: readonly ParsedLine[];
  /** The cause as a sentence for people. */
  readonly cause: string;
}

/** Events of an upstream or a VM are included if they occur at most this long before the request's first line. */
const CONTEXT_MS = 5_000;
/** Events of an upstream, a VM or the store that may explain a request's outcome. */
const CONTEXT_EVENTS = new Set([
  "upstream silent",
  "upstream gone",
  "upstream dark",
  "upstream lost",
  "upstream known",
  "upstream says it leaves",
  "upstream asks for rest",
  "leads",
  "evacuated",
  "store lost",
  "store restored",
]);

/** Events that may explain a request wherever it was sent. */
const WIDE_EVENTS = new Set(["store lost", "store restored", "evacuated"]);

/** What upstreams say of themselves; it explains a request that was sent to none. */
const NOTICE_EVENTS = new Set([
  "upstream says it leaves",
  "upstream asks for rest",
]);

/** Events about a request that is suspected of crashing upstreams, in any of its attempts. */
const SUSPECT_EVENTS = new Set([
  "upstream ended under",
  "suspect cleared",
  "suspect on trial",
]);

const CAUSE_BY_OUTCOME: Readonly<Record<string, string>> = {
  ok: "it was served",
  noTable: "the VM had no configuration yet; nothing was run",
  unauthenticated:
    "no workspace of the configuration in force holds the caller's key; nothing was run",
  forbidden:
    "the homes of the caller's workspace and of the route share no region; nothing was run",
  rateLimited: "its workspace was beyond its limit; nothing was run",
  notFound: "no route of the configuration in force matches host and path",
  queueFull:
    "every place that may serve it was full, here and in the regions that may take it; nothing was run",
  noUpstream:
    "no upstream of the service was known, ready and reachable in any region that may serve it; nothing was run",
  draining:
    "the VM was being stopped and could not have ended it in time; nothing was run",
  upstreamRefused: "the upstream said that it had no room; nothing was run",
  upstreamFailed:
    "the connection broke after the request was sent: it may have run, and its route allows no other send",
  upstreamTimeout: "the upstream had it and did not answer before the deadline",
  expiredInQueue:
    "its deadline passed before an upstream was free; nothing was run",
  streamBroken: "the upstream broke off in the middle of the stream",
  endsUpstreams:
    "upstreams ended each time that they ran it, so it is not run again",
  partEndsUpstreams:
    "upstreams ended each time that they ran a request with the blamed part of its prompt; nothing was run",
  onTrialElsewhere:
    "upstreams ended under it or the blamed part, and another run shows whether they do again, or the store gave no leave; nothing was run",
  canceled: "the caller left before its answer was whole",
  cutByStop:
    "the VM's planned stop was over before the answer was whole; unless it was never sent, it may have run",
  bodyTooLarge: "the body exceeds the configured limit",
  headersTooLarge: "the headers exceed the configured limit",
  internal: "a fault of the gateway itself; see the reason",
};

/** The cause for a stream that began and timed out; `upstreamTimeout` alone means that the upstream sent nothing. */
const TOO_SLOW_CAUSE =
  "the upstream began to answer and was too slow to end before the deadline";

/** What a stream's end looks like in the log, in words. */
const BODY_ENDS: Readonly<Record<string, string>> = {
  inOrder: "in order",
  reset: "by a reset",
  cut: "before the end that its framing promises",
  "given up": "as this side stopped reading it",
};

/** Describes how the answer's body ended, if one was forwarded. */
function bodyParts({ fields }: ParsedLine): string[] {
  const { framing, bodyEnd, bodyBytes, events, heldBytes, insideEvent } =
    fields;
  if (!framing) return [];
  const counts = events === undefined
    ? `${bodyBytes} bytes`
    : `${bodyBytes} bytes with ${events} whole events`;
  return [
    `the answer (framed by ${framing}) ended ${BODY_ENDS[bodyEnd] ?? bodyEnd}` +
    `${insideEvent ? " inside an event" : ""} after ${counts}` +
    `${heldBytes ? `, ${heldBytes} bytes held back` : ""}` +
    `, taken as ${fields.concluded}`,
  ];
}

/** Why the version of an upstream's entry does not hold. */
const PROCESS_TEXTS: Readonly<Record<string, string>> = {
  replaced: "had been replaced by a process that this VM has no entry of",
  unproven: "did not say which process it is",
};

/** Describes at which version a stream began, where that is known from, and who continued it. */
function versionParts({ fields }: ParsedLine): string[] {
  const {
    version,
    firstProcess,
    process,
    continuedBy,
    notContinued,
    firstAttempt,
    firstVersion,
    originFrom,
    originAgeMs,
    originWatchedMs,
    originReplies,
    originRefused,
  } = fields;
  const parts: string[] = [];
  const watched = originWatchedMs === undefined
    ? ""
    : `, by ${originWatchedMs} ms of watching and ${originReplies} other VMs`;
  if (version !== undefined) {
    parts.push(`began at version ${version || "none"}`);
  }
  if (firstProcess in PROCESS_TEXTS) {
    parts.push(`the upstream that began it ${PROCESS_TEXTS[firstProcess]}`);
  }
  if (process in PROCESS_TEXTS) {
    parts.push(`its last upstream ${PROCESS_TEXTS[process]}`);
  }
  if (originRefused) {
    parts.push(
      `could not go on after ${
        firstAttempt ?? "no attempt"
      }: the version that began it is ${originRefused}${watched}`,
    );
  } else if (firstVersion !== undefined) {
    const age = originAgeMs ? `, ${originAgeMs} ms old` : "";
    parts.push(
      `goes on after ${firstAttempt ?? "no attempt"} at version ${
        firstVersion || "none"
      } (known from: ${originFrom}${age}${watched})`,
    );
  }
  if (continuedBy) parts.push(`continued by ${continuedBy}`);
  if (notContinued) parts.push(`not continued: ${notContinued}`);
  return parts;
}

function causeOf(
  endLine: ParsedLine | undefined,
  lines: readonly ParsedLine[],
): string {
  if (!endLine) {
    return "no VM logged its end: its line was left out, or the VM was lost";
  }
  const {
    outcome,
    reason,
    place,
    sends,
    leftMs,
    firstByteMs,
    here,
    resting,
    elsewhere,
    workspace,
    quotaUnits,
    countedBy,
    configVersion,
    ends,
    blamed,
  } = endLine.fields;
  const wasSlow = outcome === "upstreamTimeout" && firstByteMs !== undefined;
  const parts = [
    wasSlow ? TOO_SLOW_CAUSE : CAUSE_BY_OUTCOME[outcome] ?? outcome,
  ];
  if (reason && outcome !== "ok") parts.push(`reason: ${reason}`);
  if (outcome === "rateLimited") {
    parts.push(`workspace: ${workspace}, ${quotaUnits} units`);
    parts.push(`refused by ${countedBy}, configuration ${configVersion}`);
  }
  if (place) parts.push(`last place: ${place}`);
  if (here) {
    parts.push(`upstreams here: ${here}; free/queue elsewhere: ${elsewhere}`);
  }
  if (resting) {
    parts.push(`of these, ${resting} had asked this VM for rest`);
  }
  parts.push(...versionParts(endLine));
  if (sends) parts.push(`upstreams that got it: ${sends}`);
  if (ends) parts.push(`upstreams that ended under ${blamed ?? "it"}: ${ends}`);
  parts.push(...bodyParts(endLine));
  if (firstByteMs) parts.push(`first byte after ${firstByteMs} ms`);
  if (leftMs) parts.push(`time left: ${leftMs} ms`);
  const contextTexts = lines.filter(({ event }) => CONTEXT_EVENTS.has(event))
    .map((
      { event, fields },
    ) => fields.upstream ? `${event} (${fields.upstream})` : event);
  if (contextTexts.length > 0) {
    parts.push(`meanwhile: ${[...new Set(contextTexts)].join(", ")}`);
  }
  return parts.join("; ");
}

/** Returns the traits that a line about suspects names, without the counts behind them. */
function traitsIn({ parts, traits, blamed }: ParsedLine["fields"]): string[] {
  return [parts, traits, blamed].filter(Boolean)
    .flatMap((list) => list.split(",")).map((item) => item.split(":", 1)[0]);
}

function isIn(set: ReadonlySet<string>): (item: string) => boolean {
  return (item) => set.has(item);
}

/** Collects the lines of a request and finds its cause; gives `undefined` if no line names the request. */
export function explainRequest(
  attempt: string,
  allLines: readonly ParsedLine[],
): Explanation | undefined {
  const ownLines = allLines.filter(({ fields }) => fields.attempt === attempt);
  if (ownLines.length === 0) return undefined;
  const places = new Set(
    ownLines.map(({ fields }) => fields.place).filter(Boolean),
  );
  const vms = new Set(ownLines.map(({ vm }) => vm));
  const firstMs = Math.min(...ownLines.map(({ timeMs }) => timeMs)) -
    CONTEXT_MS;
  const lastMs = Math.max(...ownLines.map(({ timeMs }) => timeMs));
  const contextLines = allLines.filter(({ timeMs, event, vm, fields }) =>
    CONTEXT_EVENTS.has(event) && timeMs >= firstMs && timeMs <= lastMs &&
    vms.has(vm) &&
    (places.has(fields.upstream ?? fields.peer ?? "") ||
      WIDE_EVENTS.has(event) ||
      (places.size === 0 && NOTICE_EVENTS.has(event)))
  );
  const digests = new Set(
    ownLines.map(({ fields }) => fields.request).filter(Boolean),
  );
  const blamed = new Set(
    ownLines.map(({ fields }) => fields.blamed).filter(Boolean),
  );
  const suspectLines = allLines.filter(({ event, fields }) =>
    SUSPECT_EVENTS.has(event) &&
    (digests.has(fields.request) || traitsIn(fields).some(isIn(blamed)))
  );
  // The outcome is taken from the VM that the caller was connected to, because the other VMs sent their answers there.
  const endLines = ownLines.filter(({ event }) => event === "request");
  const last = endLines.find(({ fields }) => fields.relayed !== "true") ??
    endLines.at(-1);
  const history = last && findConfigHistory(last, allLines);
  const lines = [
    ...ownLines,
    ...contextLines,
    ...suspectLines,
    ...(history?.lines ?? []),
  ].sort((a, b) => a.timeMs - b.timeMs);
  const cause = [causeOf(last, lines), ...(history?.parts ?? [])].join("; ");
  return { attempt, lines, cause };
}

/** Formats an explanation as text, with times relative to its first line. */
export function explanationText(
  { attempt, lines, cause }: Explanation,
): string {
  const startMs = lines[0].timeMs;
  const rows = lines.map(({ timeMs, vm, event, fields }) => {
    const rest = Object.entries(fields).filter(([key]) => key !== "attempt")
      .map(([key, value]) => `${key}=${value}`).join(" ");
    return `  +${
      String(timeMs - startMs).padStart(5)
    } ms  ${vm}  ${event}  ${rest}`;
  });
  return [`request ${attempt}`, ...rows, `cause: ${cause}`].join("\n");
}
