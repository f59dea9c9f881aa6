/** Calls between hosts: a request, one answer, and a timeout. */

import { Err, Ok, type Result } from "ts-results-es";
import type { HostId } from "./ids.ts";
import type {
  HostIo,
  PeerMessage,
  PeerReq,
  PeerRes,
  Stoppable,
} from "./types.ts";

/** Why a call to a peer gave no answer. */
export type PeerErr = "timeout" | "stopped";

/** Answers one call of a peer. */
export type PeerHandler = (from: HostId, req: PeerReq) => Promise<PeerRes>;

/** Calls to peers and the calls that they make. */
export interface Peers extends Stoppable {
  call(
    to: HostId,
    req: PeerReq,
    options: { readonly timeoutMs: number },
  ): Promise<Result<PeerRes, PeerErr>>;
  /** Ends the calls to the hosts that the predicate picks. */
  abortCalls(isUnreachable: (host: HostId) => boolean): void;
  /** Takes a call or return that arrived. */
  receive(from: HostId, msg: PeerMessage): void;
}

interface PendingCall {
  readonly to: HostId;
  settle(result: Result<PeerRes, PeerErr>): void;
}

const MAX_FIRST_RID = 2 ** 48;

/** Creates the calls of one host; `handler` answers those of others. */
export function createPeers(io: HostIo, handler: PeerHandler): Peers {
  const pendingCalls = new Map<number, PendingCall>();
  // A late answer to a process that ran on this host before must not match.
  let nextRid = Math.floor(io.random() * MAX_FIRST_RID);

  async function answer(
    from: HostId,
    msg: Extract<PeerMessage, { kind: "call" }>,
  ): Promise<void> {
    const res = await handler(from, msg.req);
    io.sendPeer(from, { kind: "return", rid: msg.rid, res });
  }

  return {
    call(to, req, { timeoutMs }) {
      return new Promise((resolve) => {
        const rid = nextRid++;
        const timer = setTimeout(() => settle(Err("timeout")), timeoutMs);
        function settle(result: Result<PeerRes, PeerErr>): void {
          clearTimeout(timer);
          pendingCalls.delete(rid);
          resolve(result);
        }
        pendingCalls.set(rid, { to, settle });
        io.sendPeer(to, { kind: "call", rid, req });
      });
    },
    abortCalls(isUnreachable) {
      [...pendingCalls.values()]
        .filter((call) => isUnreachable(call.to))
        .forEach((call) => call.settle(Err("timeout")));
    },
    receive(from, msg) {
      if (msg.kind === "call") {
        void answer(from, msg);
      } else if (msg.kind === "return") {
        const call = pendingCalls.get(msg.rid);
        // An answer counts only when it comes from the host that was asked.
        if (call?.to === from) {
          call.settle(Ok(msg.res));
        }
      }
    },
    stop() {
      for (const call of [...pendingCalls.values()]) {
        call.settle(Err("stopped"));
      }
    },
  };
}
