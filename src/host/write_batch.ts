/** Combines the frames sent in one turn of the event loop into one write. */

import type { Duplex } from "node:stream";

/** Corks the socket until the end of the turn; call it before sending. */
export type WriteBatch = () => void;

/** Creates the write batch of a socket. */
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
