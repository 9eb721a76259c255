/**
 * Tells by which configuration a request was handled, how its VM came by it, and which newer one others had.
 *
 * @module
 */

import type { ParsedLine } from "./log_line.ts";

/** What the logs say of the configuration of one request. */
export interface ConfigHistory {
  /** The lines that tell it. */
  readonly lines: readonly ParsedLine[];
  /** The same for people; empty if no VM had a newer configuration. */
  readonly parts: readonly string[];
}

const IN_FORCE_EVENT = "config in force";
/** Logged by a VM that keeps a configuration although the store, or another VM, says otherwise. */
const LEFT_OUT_EVENTS = new Set([
  "older config left out",
  "other config of one version left out",
]);

/** Below all versions: a VM that has no configuration yet names none. */
const NO_VERSION = -Infinity;

function versionOf({ fields }: ParsedLine): number {
  return Number(fields.configVersion ?? NO_VERSION);
}

function describeLine(line: ParsedLine, requestMs: number): string {
  const { vm, timeMs, fields } = line;
  const { rev, from, readBy, isReader, storeAnsweredAgoMs } = fields;
  const parts = [
    `${versionOf(line)} in force on ${vm} for ${requestMs - timeMs} ms`,
    `from ${from}`,
  ];
  if (readBy !== undefined) parts.push(`read by ${readBy}`);
  if (rev !== undefined) parts.push(`revision ${rev}`);
  if (storeAnsweredAgoMs !== undefined) {
    parts.push(
      `the store had answered this VM ${storeAnsweredAgoMs} ms before`,
    );
  }
  if (isReader === "true") parts.push("it reads the store for its region");
  return parts.join(", ");
}

/** Tells when the VM of a request last knew that the store had no newer configuration than its own. */
function describeAgreement({ fields }: ParsedLine): string {
  const { configAgreedAgoMs } = fields;
  if (configAgreedAgoMs === undefined) return "";
  return `, last known to be the newest ${configAgreedAgoMs} ms before`;
}

/** Compares the configuration that a request's last line names with those that all VMs had by then. */
export function findConfigHistory(
  endLine: ParsedLine,
  allLines: readonly ParsedLine[],
): ConfigHistory {
  const version = versionOf(endLine);
  const arrivedMs = endLine.timeMs - Number(endLine.fields.totalMs ?? 0);
  const earlier = allLines.filter(({ timeMs }) => timeMs <= arrivedMs)
    .sort((a, b) => a.timeMs - b.timeMs);
  const inForce = earlier.filter(({ event }) => event === IN_FORCE_EVENT);
  const newest = Math.max(...inForce.map(versionOf));
  if (newest <= version) return { lines: [], parts: [] };
  const own = inForce.findLast((line) =>
    line.vm === endLine.vm && versionOf(line) === version
  );
  const first = inForce.find((line) => versionOf(line) === newest)!;
  const leftOut = earlier.filter(({ event, vm }) =>
    LEFT_OUT_EVENTS.has(event) && vm === endLine.vm
  );
  return {
    lines: [...(own ? [own] : []), first, ...leftOut],
    parts: [
      version === NO_VERSION
        ? "handled without a configuration"
        : `handled by configuration ${
          own ? describeLine(own, arrivedMs) : version
        }${describeAgreement(endLine)}`,
      `newer: ${describeLine(first, arrivedMs)}`,
    ],
  };
}
