/** Connections of this host to the targets of one group. */

import { Ok, type Result } from "ts-results-es";
import type { TargetId } from "./ids.ts";
import type {
  HostIo,
  Stoppable,
  TargetConn,
  TargetErr,
  TargetInfo,
} from "./types.ts";

/** Lends connections that are in a known, clean state. */
export interface Connections extends Stoppable {
  acquire(target: TargetInfo): Promise<Result<TargetConn, TargetErr>>;
  /** Takes a connection back; one whose state is unknown is closed. */
  release(conn: TargetConn, options: { readonly clean: boolean }): void;
}

/** Creates an empty set of connections. */
export function createConnections(io: HostIo): Connections {
  const idle = new Map<TargetId, TargetConn[]>();
  let stopped = false;

  function listIdle(target: TargetId): TargetConn[] {
    const found = idle.get(target) ?? [];
    idle.set(target, found);
    return found;
  }

  return {
    async acquire(target) {
      const free = listIdle(target.target);
      while (free.length > 0) {
        const conn = free.pop()!;
        if (conn.isOpen()) {
          return Ok(conn);
        }
      }
      return await io.targets.connect(target);
    },
    release(conn, { clean }) {
      if (clean && conn.isOpen() && !stopped) {
        listIdle(conn.target).push(conn);
      } else {
        conn.close();
      }
    },
    stop() {
      stopped = true;
      [...idle.values()].flat().forEach((conn) => conn.close());
      idle.clear();
    },
  };
}
