/**
 * The records that VMs exchange about a VM, and which of two such records is newer.
 *
 * @module
 */

/** Whether a VM answers. A `suspect` VM did not, but can still answer in time; a `dead` one did not answer in time. */
export type MemberStatus = "live" | "suspect" | "dead";

/** One VM's statement about another or about itself. */
export interface MemberRecord {
  readonly id: string;
  /** Increases each time a VM is started under this id. */
  readonly incarnation: number;
  /** Increases each time the VM refutes what others say of it or starts to drain. Only the VM itself raises it. */
  readonly beat: number;
  readonly status: MemberStatus;
  /** Whether the VM is draining. Never changes for one incarnation and beat. */
  readonly leaving: boolean;
  readonly region: string;
  readonly failureDomain: string;
  readonly peerAddress: string;
  readonly callerUrl: string;
}

const STATUS_RANK: Record<MemberStatus, number> = {
  live: 0,
  suspect: 1,
  dead: 2,
};

/**
 * Whether record `a` replaces `b`. A VM's own record with a higher beat replaces all that others say about an earlier
 * beat, so that a VM that was declared dead while it was paused comes back. At the same beat the records of others win,
 * so that an outdated "live" record still in transit does not bring a dead VM back.
 */
export function replaces(a: MemberRecord, b: MemberRecord): boolean {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation;
  if (a.beat !== b.beat) return a.beat > b.beat;
  return STATUS_RANK[a.status] > STATUS_RANK[b.status];
}
