/**
 * What the author of a refused edit is told.
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

/** A refused edit, with what its author must look at. */
export interface EditRefusal {
  readonly failure: Failure;
  readonly conflicts?: readonly RowConflict[];
  readonly faults?: readonly RowFault[];
  /** For an apply in parts: the version that the parts before made. */
  readonly acceptedVersion?: number;
}

/** The store could not be asked, or gave no answer in time; `unsettled`: a write may have taken effect. */
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

/** Other edits changed the same rows first. */
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

/** The rows do not fit each other. */
export function refuseInvalid(faults: readonly RowFault[]): EditRefusal {
  const message = faults.map(describeFault).join("; ");
  return { failure: failure("invalidEdit", { message }), faults };
}

/** What a step that ends an edit without success says; `undefined` for one that does not. */
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
