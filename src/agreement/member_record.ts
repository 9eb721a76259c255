/**
 * What VMs tell each other about a VM, and which of two such statements is the newer.
 *
 * @module
 */

/** Whether a VM answers: `suspect` did not and has time left to; `dead` had it. */
export type MemberStatus = "live" | "suspect" | "dead";

/** A statement about a VM. */
export interface MemberRecord {
  readonly id: string;
  /** Grows each time a VM is started under this id. */
  readonly incarnation: number;
  /** Grows each time the VM contradicts others, or starts to leave; only the VM itself raises it. */
  readonly beat: number;
  readonly status: MemberStatus;
  /** Fixed by incarnation and beat. */
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
 * Whether statement `a` replaces `b`. What a VM says of itself with a higher beat beats all that others say about an
 * earlier beat, so that a VM that was called dead while it was paused comes back; what others say wins at the same
 * beat, so that an old "live" that is still under way does not bring a dead VM back.
 */
export function replaces(a: MemberRecord, b: MemberRecord): boolean {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation;
  if (a.beat !== b.beat) return a.beat > b.beat;
  return STATUS_RANK[a.status] > STATUS_RANK[b.status];
}
