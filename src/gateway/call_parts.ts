/**
 * The parts of which a call is made up.
 *
 * @module
 */

import { chooseService, type ServiceConfig } from "../routing/mod.ts";
import { CallAnswer } from "./call_answer.ts";
import { type CallInput, firstAttemptOf } from "./call_input.ts";
import { CallPlacement } from "./call_placement.ts";
import { CallRecord } from "./call_record.ts";
import { CallRetries } from "./call_retries.ts";
import { CallSends } from "./call_sends.ts";
import { CallSuspicion } from "./call_suspicion.ts";
import type { GatewayContext } from "./context.ts";
import type { Reply } from "./reply.ts";
import { RunEvidence } from "./run_evidence.ts";
import { StreamMover } from "./stream_move.ts";

/** What one call decides with, and does its work by. */
export interface CallParts {
  readonly service: ServiceConfig;
  readonly record: CallRecord;
  readonly placement: CallPlacement;
  readonly retries: CallRetries;
  readonly sends: CallSends;
  readonly suspicion: CallSuspicion;
  readonly answer: CallAnswer;
  readonly mover: StreamMover;
  readonly evidence: RunEvidence;
}

function serviceOf({ route, head, config }: CallInput): ServiceConfig {
  // A stream that is taken up again goes on at the service that began it.
  const name = chooseService(route, firstAttemptOf(head));
  return config.service(name) ??
    { name, mostConnections: 64, coldMs: 0, coldPerS: 0, engine: undefined };
}

/** Creates the parts of a call that begins now. */
export function createCallParts(
  context: GatewayContext,
  input: CallInput,
  reply: Reply,
): CallParts {
  const { clock, heldEvents: heldMemory } = context;
  const service = serviceOf(input);
  const { name } = service;
  const arrivedMs = clock.monoMs();
  const evidence = new RunEvidence();
  const record = new CallRecord(context, input, name, arrivedMs);
  const shared = { context, input, record };
  const placement = new CallPlacement(
    context,
    input,
    service,
    arrivedMs,
    record,
  );
  const suspicion = new CallSuspicion(context, input, name, record);
  const retries = new CallRetries({
    ...shared,
    service: name,
    placement,
    reply,
  });
  const sends = new CallSends({
    ...shared,
    service,
    placement,
    retries,
    evidence,
  });
  const answer = new CallAnswer({
    clock,
    heldMemory,
    input,
    service,
    reply,
    placement,
    record,
    suspicion,
  });
  return {
    service,
    record,
    placement,
    retries,
    sends,
    suspicion,
    answer,
    mover: new StreamMover(context, input, service),
    evidence,
  };
}
