/**
 * Floods: bytes that callers or upstreams send without end, in pieces of one size.
 *
 * @module
 */

/** What an upstream sends without end once it has a request. */
export type AnswerFloodKind =
  /** One header line of a head. */
  | "headLine"
  /** Header lines of a head. */
  | "headLines"
  /** Heads that announce an answer. */
  | "interimHeads"
  /** Bytes that are no HTTP. */
  | "noHttp"
  /** Chunks of a plain answer. */
  | "body"
  /** Chunks of one event of a stream. */
  | "event"
  /** Events of a stream; blank lines where a piece is too short for one. */
  | "events"
  /** The extension of a chunk. */
  | "answerExtension";

/** What a caller sends without end, or leaves unread. */
export type CallerFloodKind =
  /** One header line of a head. */
  | "requestLine"
  /** Chunks of a request's body. */
  | "requestBody"
  /** The extension of a chunk. */
  | "requestExtension"
  /** Whole requests on one connection, none of whose answers it reads. */
  | "pipelined"
  /** One request, of whose endless answer it reads nothing. */
  | "unread";

/** Kind of a flood. */
export type FloodKind = AnswerFloodKind | CallerFloodKind;

/** One flood, as the process that sends it gets it. */
export interface Flood {
  readonly how: FloodKind;
  /** Size of a chunk, an event or a whole request's body; of one write, where bytes have no such frame. */
  readonly pieceBytes: number;
  /** Connections that callers keep open at once. */
  readonly connections: number;
  /** First part of the path, which chooses the route. */
  readonly route: FloodRoute;
}

/** Routes of the service whose upstreams flood. */
export type FloodRoute =
  | "floodsafe"
  | "floodonce"
  | "floodstream"
  | "floodsouth";

/** Kinds of floods that upstreams send. */
export const ANSWER_FLOODS: readonly AnswerFloodKind[] = [
  "headLine",
  "headLines",
  "interimHeads",
  "noHttp",
  "body",
  "event",
  "events",
  "answerExtension",
];
/** Kinds of floods that callers send or leave unread. */
export const CALLER_FLOODS: readonly CallerFloodKind[] = [
  "requestLine",
  "requestBody",
  "requestExtension",
  "pipelined",
  "unread",
];
/** Sizes of pieces. */
export const PIECE_BYTES: readonly number[] = [1, 8, 64, 512, 4_096, 65_536];
/** Service of the upstreams that flood; no ordinary request goes to it. */
export const FLOOD_SERVICE = "flood";

/** About so many bytes are written at once where pieces have frames of their own. */
const BLOCK_BYTES = 65_536;
const EVENT_FRAME = { before: "data: ", after: "\n\n" };
const EVENT_FRAME_BYTES = EVENT_FRAME.before.length + EVENT_FRAME.after.length;
const FILLER = "x";

/** What an upstream sends before a flood. */
export interface AnswerHead {
  readonly attemptId: string;
  readonly stamp: string;
}

/** Whether an upstream sends a flood of this kind. */
export function isAnswerFlood(how: FloodKind): how is AnswerFloodKind {
  return (ANSWER_FLOODS as readonly FloodKind[]).includes(how);
}

/** The bytes with which an upstream's flood begins. */
export function openAnswer(how: AnswerFloodKind, head: AnswerHead): string {
  if (how === "interimHeads" || how === "noHttp") return "";
  const lines = [
    "HTTP/1.1 200 OK",
    `Attempt-Id: ${head.attemptId}`,
    `Response-Stamp: ${head.stamp}`,
  ];
  if (how === "headLine") return [...lines, "X-Filler: "].join("\r\n");
  if (how === "headLines") return [...lines, ""].join("\r\n");
  const isStream = how === "event" || how === "events";
  const type = isStream ? "text/event-stream" : "text/plain";
  const opening = [
    ...lines,
    `Content-Type: ${type}`,
    "Transfer-Encoding: chunked",
    "\r\n",
  ].join("\r\n");
  if (how === "event") return opening + formatChunk(EVENT_FRAME.before);
  return how === "answerExtension" ? `${opening}1;` : opening;
}

/** What an upstream's flood repeats: many pieces where they have frames, else one. */
export function repeatAnswer(how: AnswerFloodKind, pieceBytes: number): string {
  const filler = FILLER.repeat(pieceBytes);
  switch (how) {
    case "headLines":
      return repeatToBlock(`X-Filler: ${filler}\r\n`);
    case "interimHeads":
      return repeatToBlock(
        `HTTP/1.1 103 Early Hints\r\nX-Filler: ${filler}\r\n\r\n`,
      );
    case "body":
    case "event":
      return repeatToBlock(formatChunk(filler));
    case "events":
      return repeatToBlock(formatChunk(formatEvent(pieceBytes)));
    default:
      return filler;
  }
}

/** What a caller's flood repeats. */
export function repeatRequest(
  how: "requestLine" | "requestBody" | "requestExtension",
  pieceBytes: number,
): string {
  const filler = FILLER.repeat(pieceBytes);
  return how === "requestBody" ? repeatToBlock(formatChunk(filler)) : filler;
}

/** Whether each write of a flood is one piece, so that it has to be sent by itself. */
export function isUnframed(how: FloodKind): boolean {
  return how === "headLine" || how === "noHttp" || how === "requestLine" ||
    how.endsWith("Extension");
}

/** A text as one chunk of a body. */
export function formatChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function formatEvent(bytes: number): string {
  if (bytes <= EVENT_FRAME_BYTES) return "\n".repeat(bytes);
  const filler = FILLER.repeat(bytes - EVENT_FRAME_BYTES);
  return EVENT_FRAME.before + filler + EVENT_FRAME.after;
}

function repeatToBlock(piece: string): string {
  return piece.repeat(Math.max(1, Math.floor(BLOCK_BYTES / piece.length)));
}
