/**
 * Uses coordination parts alone: a job worker joins others by heartbeats and
 * shares jobs out by rendezvous hashing. Messages go by calls in place of a
 * network.
 */

import process from "node:process";
import {
  asId,
  createMembership,
  type DomainId,
  type HostId,
  type Membership,
  type PeerMessage,
  rankNodes,
} from "turmericchute";

const WORKERS = ["w1", "w2", "w3"].map(asId<HostId>);
const JOBS = ["invoices", "mails", "reports", "backups"];
const SETTLE_MS = 400;

const members = new Map<HostId, Membership>();

/** Delivers a heartbeat to the membership of another worker. */
function deliver(to: HostId, msg: PeerMessage): void {
  if (msg.kind === "heartbeat") {
    members.get(to)?.receive(msg);
  }
}

function join(worker: HostId): Membership {
  const io = { sendPeer: deliver, random: Math.random };
  const describe = (host: HostId) => ({ host, domain: asId<DomainId>(host) });
  return createMembership(io, {
    self: describe(worker),
    known: WORKERS.filter((other) => other !== worker).map(describe),
    listRegistered: () => [],
    getOwnVersions: () => ({ revision: 0, versions: [] }),
  });
}

function listOwners(member: Membership): string[] {
  const alive = member.listAlive().map((peer) => peer.host);
  return JOBS.map((job) => `${job}: ${rankNodes(job, alive)[0]}`);
}

WORKERS.forEach((worker) => members.set(worker, join(worker)));
members.forEach((member) => member.start());
await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));

const views = [...members.values()].map((member) =>
  listOwners(member).join(", ")
);
console.log(views[0]);
process.exitCode = new Set(views).size === 1 ? 0 : 1;
members.forEach((member) => member.stop());
