/**
 * The names of the promises that a run is judged by.
 *
 * @module
 */

/** The gateway's promises, which hold whatever fails. */
export type Rule =
  | "MIXED"
  | "ORDER"
  | "UNASKED"
  | "TWICE"
  | "REFUSED"
  | "HOME"
  | "BUDGET"
  | "ROUTE"
  | "DENIED"
  | "LATE"
  | "GONE"
  | "LOST"
  | "CONFIG"
  | "DRAIN"
  | "REST"
  | "CRASH"
  | "PROCESS"
  | "FAULT"
  | "MEMORY"
  | "RECOVER"
  | "SERVE"
  | "VIEW";
