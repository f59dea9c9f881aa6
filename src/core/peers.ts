/** Remote calls between hosts, each with one answer or a timeout. */

import { Err, Ok, type Result } from "ts-results-es";
import type { HostId } from "./ids.ts";
import type {
  HostIo,
  PeerMessage,
  PeerReq,
  PeerRes,
  Stoppable,
} from "./types.ts";

/** Reason why a call to a peer returned no answer. */
export type PeerErr = "timeout" | "stopped";

/** Handles one incoming call and returns its answer. */
export type PeerHandler = (from: HostId, req: PeerReq) => Promise<PeerRes>;

/** Outgoing and incoming calls of one host. */
export interface Peers extends Stoppable {
  call(
    to: HostId,
    req: PeerReq,
    options: { readonly timeoutMs: number },
  ): Promise<Result<PeerRes, PeerErr>>;
  /** Fails pending calls to the hosts that match, as if they timed out. */
  abortCalls(isUnreachable: (host: HostId) => boolean): void;
  /** Processes an incoming call or return message. */
  receive(from: HostId, msg: PeerMessage): void;
}

interface PendingCall {
  readonly to: HostId;
  settle(result: Result<PeerRes, PeerErr>): void;
}

const MAX_FIRST_RID = 2 ** 48;

/** Creates the call endpoint of one host; `handler` answers incoming calls. */
export function createPeers(io: HostIo, handler: PeerHandler): Peers {
  const pendingCalls = new Map<number, PendingCall>();
  // Starts at a random id, so that a late answer to an earlier process on this
  // host does not match a new call.
  let nextRid = Math.floor(io.random() * MAX_FIRST_RID);

  async function answerCall(
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
        void answerCall(from, msg);
      } else if (msg.kind === "return") {
        const call = pendingCalls.get(msg.rid);
        // Ignores answers from hosts other than the one that was called.
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
