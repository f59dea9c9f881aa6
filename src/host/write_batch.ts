/** Joins the frames that one turn of the loop sends into one write. */

import type { Duplex } from "node:stream";

/** Call before a frame is sent; the socket is flushed when the turn ends. */
export type WriteBatch = () => void;

/** Creates the batch of one socket. */
export function createWriteBatch(socket: Duplex): WriteBatch {
  let isCorked = false;

  function flush(): void {
    isCorked = false;
    socket.uncork();
  }

  return () => {
    if (!isCorked) {
      isCorked = true;
      socket.cork();
      setImmediate(flush);
    }
  };
}
