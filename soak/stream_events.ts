/**
 * Reads the events of the soak's streams, which name the software version of the upstream that wrote them.
 *
 * @module
 */

/** A whole event of a stream. */
export interface StreamEvent {
  readonly id: number;
  /** The software version of the upstream that wrote it. */
  readonly version: string;
}

/** Software versions of upstreams. Their names are of one length, so that a cut name is a prefix of any of them. */
export const VERSIONS = ["v1", "v2", "v3"] as const;

/** Stands for any version in the text of a stream. */
export const ANY_VERSION = "v*";

const WHOLE_EVENT = /^id: (\d+)\ndata: piece \d+ by (\S+)\n\n/gm;
const EVENT_VERSION = / by v\d$/gm;

/** Returns the whole events in what a caller got of a stream. */
export function readWholeEvents(text: string): StreamEvent[] {
  return [...text.matchAll(WHOLE_EVENT)].map(([, id, version]) => ({
    id: Number(id),
    version,
  }));
}

/** Replaces the version in each event, also in a cut one, by {@link ANY_VERSION}. */
export function maskVersions(text: string): string {
  return text.replaceAll(EVENT_VERSION, ` by ${ANY_VERSION}`);
}
