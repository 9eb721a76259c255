/**
 * Decoding of the reports that upstreams give about themselves.
 *
 * @module
 */

/** Path of an upstream's report about itself. */
export const REPORT_PATH = "/api/report";

/** Statuses of an upstream that has no report. */
const NO_REPORT_STATUSES = new Set([404, 405, 501]);

/**
 * Decodes when the process that made a report was started, in Unix ms. `"untold"` if the upstream has no report or its
 * report does not say, `undefined` if this answer does not show it.
 */
export function decodeReportedBorn(
  status: number,
  text: string,
): number | "untold" | undefined {
  if (NO_REPORT_STATUSES.has(status)) return "untold";
  if (status !== 200) return undefined;
  // Any other text is the answer of a service that has no report, and answers everything.
  if (!text.startsWith("{")) return "untold";
  try {
    const { born } = JSON.parse(text) as { born?: unknown };
    return typeof born === "number" ? born : "untold";
  } catch {
    // Its end is missing.
    return undefined;
  }
}
