/**
 * A request that waits in the queue of a lead, and what the lead keeps for each service.
 *
 * @module
 */

import {
  type AdmissionQueue,
  dueMsOf,
  type HoldTime,
  type ReturnSchedule,
  type WaitingRequest,
} from "../admission/mod.ts";
import type { PlacementRequest, QueueFields } from "./local_placement.ts";
import type { PlacementVerdict } from "./placement_wire.ts";
import type { PromptShape } from "./upstream_link.ts";

/** A request of which the lead knows all that the queue needs. */
export type QueueableRequest = PlacementRequest & {
  readonly queue: QueueFields;
};

/** Who asks for a place: a VM and the number of its query. */
export interface Asker {
  readonly vmId: string;
  readonly question: number;
}

/** A request that waits. */
export interface QueueEntry {
  readonly asker: Asker;
  readonly request: QueueableRequest;
  readonly waiting: WaitingRequest;
  readonly reply: (verdict: PlacementVerdict) => void;
}

/** The queue of one service. */
export interface ServiceQueue {
  readonly queue: AdmissionQueue;
  readonly holdTime: HoldTime;
  readonly returns: ReturnSchedule;
  readonly entries: Map<string, QueueEntry>;
  granted: number;
  /** Slots of the upstreams, as of `notedMs`. */
  slots: number;
  notedMs: number;
}

/**
 * Weight of a token of the answer against one of the prompt: an engine reads many tokens of a prompt in the step in which
 * it generates one of each answer.
 */
const OUTPUT_TOKEN_WEIGHT = 10;

/** Tokens of a prompt that no other request shares; engines keep the shared ones. */
function ownTokensOf({ parts, tokens }: PromptShape): number {
  return parts.length > 1 ? parts[parts.length - 1].tokens : tokens;
}

/** Whether a request has to wait, or to be refused for lack of capacity. */
export function lacksPlace(verdict: PlacementVerdict): boolean {
  return verdict.type === "wait" ||
    (verdict.type === "refuse" && verdict.reason === "overloaded");
}

/** Returns the id of an asker's entry. */
export function idOf({ vmId, question }: Asker): string {
  return `${vmId}/${question}`;
}

/** Returns what the order of the queue depends on. */
export function toWaiting(
  asker: Asker,
  { queue, prompt, objectiveMs, deadlineMs }: QueueableRequest,
  arrivedMs: number,
): WaitingRequest {
  return {
    id: idOf(asker),
    workspace: queue.workspace,
    priority: queue.priority,
    tokens: ownTokensOf(prompt) + queue.outputTokens * OUTPUT_TOKEN_WEIGHT,
    arrivedMs,
    dueMs: dueMsOf(arrivedMs, objectiveMs),
    deadlineMs,
  };
}
