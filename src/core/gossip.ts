/** Passes on which hosts are down, for fleets without a full mesh. */

import type { HostReport } from "../generated/peer.ts";
import type { HostId } from "./ids.ts";

/** Reports that one heartbeat carries at most. */
const MAX_REPORTS_PER_HEARTBEAT = 16;
/** Heartbeats to one neighbour that carry the same report. */
const SENDS_PER_NEIGHBOUR = 2;

/** What was reported of hosts, and what is still to be passed on. */
export interface Gossip {
  /** Own number, raised when this host is said to be down. */
  readonly seq: number;
  isDown(host: HostId): boolean;
  /** Notes that a host was heard with `seq`. */
  recordHeartbeat(host: HostId, seq: number): void;
  /** Says that a host is down, unless it has denied that to this host. */
  suspect(host: HostId): void;
  receive(reports: readonly HostReport[]): void;
  /** Takes the reports for the next heartbeat to `neighbour`. */
  takeReports(neighbour: HostId): HostReport[];
  /** Tells a neighbour that has just started who is down. */
  enqueueAllDown(neighbour: HostId): void;
}

interface Pending {
  readonly report: HostReport;
  sendsLeft: number;
}

/** Creates the gossip of `self`. */
export function createGossip(
  options: {
    readonly self: HostId;
    readonly seq: number;
    listNeighbours(): readonly HostId[];
  },
): Gossip {
  const { self } = options;
  const latestReports = new Map<HostId, HostReport>();
  const pending = new Map<HostId, Map<HostId, Pending>>();
  const refuted = new Set<HostId>();
  let { seq } = options;

  function enqueue(neighbour: HostId, report: HostReport): void {
    const reports = pending.get(neighbour) ?? new Map<HostId, Pending>();
    pending.set(neighbour, reports);
    reports.set(report.host, { report, sendsLeft: SENDS_PER_NEIGHBOUR });
  }

  function isNewer(report: HostReport): boolean {
    const held = latestReports.get(report.host);
    return !held || report.seq > held.seq ||
      (report.seq === held.seq && report.down && !held.down);
  }

  function recordAndForward(report: HostReport): void {
    latestReports.set(report.host, report);
    options.listNeighbours().forEach((host) => enqueue(host, report));
  }

  function receiveReport(report: HostReport): void {
    if (report.host === self) {
      if (report.down && report.seq >= seq) {
        seq = report.seq + 1;
        recordAndForward({ host: self, seq, down: false });
      }
      return;
    }
    if (isNewer(report)) {
      if (!report.down && latestReports.get(report.host)?.down) {
        refuted.add(report.host);
      }
      recordAndForward(report);
    }
  }

  return {
    get seq() {
      return seq;
    },
    isDown: (host) => latestReports.get(host)?.down ?? false,
    recordHeartbeat(host, heardSeq) {
      refuted.delete(host);
      const held = latestReports.get(host);
      if (!held || heardSeq > held.seq) {
        const report = { host, seq: heardSeq, down: false };
        latestReports.set(host, report);
        if (held?.down) {
          recordAndForward(report);
        }
      } else if (held.down && heardSeq === held.seq) {
        enqueue(host, held);
      }
    },
    suspect(host) {
      const held = latestReports.get(host) ?? { host, seq: 0, down: false };
      if (!held.down && !refuted.has(host)) {
        recordAndForward({ ...held, down: true });
      }
    },
    receive: (reports) => reports.forEach(receiveReport),
    takeReports(neighbour) {
      const reports = pending.get(neighbour);
      if (!reports) {
        return [];
      }
      const taken = [...reports.values()].slice(0, MAX_REPORTS_PER_HEARTBEAT);
      for (const entry of taken) {
        entry.sendsLeft--;
        if (entry.sendsLeft === 0) {
          reports.delete(entry.report.host);
        }
      }
      return taken.map((entry) => entry.report);
    },
    enqueueAllDown(neighbour) {
      [...latestReports.values()].filter((report) => report.down)
        .forEach((report) => enqueue(neighbour, report));
    },
  };
}
