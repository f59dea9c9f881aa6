/**
 * Uses coordination components without a host: job workers detect each other by
 * heartbeats and distribute jobs by rendezvous hashing. Function calls replace
 * the network.
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
const CONVERGENCE_WAIT_MS = 400;

const membersByWorker = new Map<HostId, Membership>();

/** Passes a heartbeat to the membership of another worker. */
function deliver(to: HostId, msg: PeerMessage): void {
  if (msg.kind === "heartbeat") {
    membersByWorker.get(to)?.receive(msg);
  }
}

function createWorker(worker: HostId): Membership {
  const io = { sendPeer: deliver, random: Math.random };
  const toMember = (host: HostId) => ({ host, domain: asId<DomainId>(host) });
  return createMembership(io, {
    self: toMember(worker),
    known: WORKERS.filter((other) => other !== worker).map(toMember),
    listRegistered: () => [],
    getOwnVersions: () => ({ revision: 0, versions: [] }),
  });
}

function listAssignments(member: Membership): string[] {
  const alive = member.listAlive().map((peer) => peer.host);
  return JOBS.map((job) => `${job}: ${rankNodes(job, alive)[0]}`);
}

WORKERS.forEach((worker) => membersByWorker.set(worker, createWorker(worker)));
membersByWorker.forEach((member) => member.start());
await new Promise((resolve) => setTimeout(resolve, CONVERGENCE_WAIT_MS));

const assignments = [...membersByWorker.values()].map((member) =>
  listAssignments(member).join(", ")
);
console.log(assignments[0]);
process.exitCode = new Set(assignments).size === 1 ? 0 : 1;
membersByWorker.forEach((member) => member.stop());
