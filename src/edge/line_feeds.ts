/**
 * Converts line ends of an event stream to line feeds as they arrive.
 *
 * @module
 */

/**
 * Converts CR and CRLF to LF, across chunks. The event parser holds a CR at the end of a chunk back, in case that an LF
 * follows; then the last event before a pause or the end of the stream would not be seen.
 */
export class LineFeeds {
  #endedWithCr = false;

  /** Converts the next chunk of text. */
  convert(chunk: string): string {
    if (chunk === "") return chunk;
    const text = this.#endedWithCr && chunk[0] === "\n"
      ? chunk.slice(1)
      : chunk;
    this.#endedWithCr = chunk.endsWith("\r");
    return text.includes("\r") ? text.replace(/\r\n?/g, "\n") : text;
  }
}
