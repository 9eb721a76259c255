/**
 * Refusals of table edits, with the details that their author needs.
 *
 * @module
 */

import type { StoreError } from "../adapters/mod.ts";
import {
  describeFault,
  type EditStep,
  type RowConflict,
  type RowFault,
} from "../agreement/mod.ts";
import { type Failure, failure } from "../base/mod.ts";

/** Why an edit was refused, with the conflicting or invalid rows. */
export interface EditRefusal {
  readonly failure: Failure;
  readonly conflicts?: readonly RowConflict[];
  readonly faults?: readonly RowFault[];
  /** For an apply in several edits: the version made by the edits that were accepted before. */
  readonly acceptedVersion?: number;
}

/** Refuses an edit because the store failed or did not answer in time. `unsettled`: a write may have taken effect. */
export function refuseUnavailable(
  error: StoreError | undefined,
  unsettled: boolean,
): EditRefusal {
  const ran = unsettled ? "unknown" : "no";
  const message = error
    ? `the platform's store cannot be reached: ${error.message}`
    : "the edit was not settled before its deadline";
  return { failure: failure("storeUnavailable", { ran, message }) };
}

/** Refuses an edit because other edits changed the same rows first. */
export function refuseConflict(conflicts: readonly RowConflict[]): EditRefusal {
  const descriptions = conflicts.map(({ key, ifVersion, current }) =>
    `${key} was to be at version ${ifVersion} and is ${
      current ? `at ${current.version}` : "deleted"
    }`
  );
  return {
    failure: failure("editConflict", { message: descriptions.join("; ") }),
    conflicts,
  };
}

/** Refuses an edit that would make the table invalid. */
export function refuseInvalid(faults: readonly RowFault[]): EditRefusal {
  const message = faults.map(describeFault).join("; ");
  return { failure: failure("invalidEdit", { message }), faults };
}

/** Returns the refusal for a step that ends an edit without success, or `undefined` for any other step. */
export function refusalOf(
  step: EditStep,
  unsettled: boolean,
): EditRefusal | undefined {
  switch (step.type) {
    case "conflict":
      return refuseConflict(step.conflicts);
    case "invalid":
      return refuseInvalid(step.faults);
    case "tooLarge":
      return refuseEdit("the edit is too large; split it, or use apply");
    case "reusedId":
      return refuseEdit(
        `the id was used for the edit of version ${step.version}`,
      );
    case "regressed": {
      const ran = step.maybeAccepted ? "unknown" : "no";
      return { failure: failure("storeRegressed", { ran }) };
    }
    case "unknown":
      return refuseUnavailable(undefined, unsettled);
    default:
      return undefined;
  }
}

function refuseEdit(message: string): EditRefusal {
  return { failure: failure("invalidEdit", { message }) };
}
