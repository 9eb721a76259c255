/**
 * Callers that send requests at a steady rate.
 *
 * @module
 */

import type {
  CallerAnswer,
  CallerRequest,
  GatewayLab,
  LabVm,
} from "./gateway_lab.ts";

/** Sends `perS` requests a second for `forMs`, to each VM in turn, with `VM-N` as ids. Returns their answers. */
export async function callSteadily(
  lab: GatewayLab,
  vms: readonly LabVm[],
  input: CallerRequest,
  { forMs, perS }: { readonly forMs: number; readonly perS: number },
): Promise<CallerAnswer[]> {
  const calls: Promise<CallerAnswer>[] = [];
  const endMs = performance.now() + forMs;
  while (performance.now() < endMs) {
    const vm = vms[calls.length % vms.length];
    const attemptId = `${vm.settings.vm.id}-${calls.length}`;
    const headers = { ...input.headers, "attempt-id": attemptId };
    calls.push(lab.call(vm, { ...input, headers }));
    await new Promise((resolve) => setTimeout(resolve, 1_000 / perS));
  }
  return await Promise.all(calls);
}
