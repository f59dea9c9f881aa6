/**
 * Gossip about failed hosts, for fleets in which not every pair of hosts
 * exchanges heartbeats.
 */

import type { HostReport } from "../generated/peer.ts";
import type { HostId } from "./ids.ts";

/** Maximum number of reports in one heartbeat. */
const MAX_REPORTS_PER_HEARTBEAT = 16;
/** Number of heartbeats to each neighbour that repeat a report. */
const SENDS_PER_NEIGHBOUR = 2;

/** Latest known status of each host and the reports queued for neighbours. */
export interface Gossip {
  /** Sequence number of this host, raised to refute reports that it is down. */
  readonly seq: number;
  isDown(host: HostId): boolean;
  /** Records a heartbeat with sequence number `seq` from a host. */
  recordHeartbeat(host: HostId, seq: number): void;
  /**
   * Reports that a host is down, unless it has refuted such a report and no
   * heartbeat has arrived from it since.
   */
  suspect(host: HostId): void;
  receive(reports: readonly HostReport[]): void;
  /** Dequeues the reports for the next heartbeat to `neighbour`. */
  takeReports(neighbour: HostId): HostReport[];
  /** Queues a report on every failed host, for a restarted neighbour. */
  enqueueAllDown(neighbour: HostId): void;
}

interface PendingReport {
  readonly report: HostReport;
  sendsLeft: number;
}

/** Creates the gossip state of host `self`. */
export function createGossip(
  options: {
    readonly self: HostId;
    readonly seq: number;
    listNeighbours(): readonly HostId[];
  },
): Gossip {
  const { self } = options;
  const latestReports = new Map<HostId, HostReport>();
  const pending = new Map<HostId, Map<HostId, PendingReport>>();
  const refuted = new Set<HostId>();
  let { seq } = options;

  function enqueue(neighbour: HostId, report: HostReport): void {
    const reports = pending.get(neighbour) ?? new Map<HostId, PendingReport>();
    pending.set(neighbour, reports);
    reports.set(report.host, { report, sendsLeft: SENDS_PER_NEIGHBOUR });
  }

  function isNewer(report: HostReport): boolean {
    const latest = latestReports.get(report.host);
    return !latest || report.seq > latest.seq ||
      (report.seq === latest.seq && report.down && !latest.down);
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
    recordHeartbeat(host, receivedSeq) {
      refuted.delete(host);
      const latest = latestReports.get(host);
      if (!latest || receivedSeq > latest.seq) {
        const report = { host, seq: receivedSeq, down: false };
        latestReports.set(host, report);
        if (latest?.down) {
          recordAndForward(report);
        }
      } else if (latest.down && receivedSeq === latest.seq) {
        enqueue(host, latest);
      }
    },
    suspect(host) {
      const latest = latestReports.get(host) ?? { host, seq: 0, down: false };
      if (!latest.down && !refuted.has(host)) {
        recordAndForward({ ...latest, down: true });
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
