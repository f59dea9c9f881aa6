/** Passes on which hosts are down, for fleets without a full mesh. */

import type { HostReport } from "../generated/peer.ts";
import type { HostId } from "./ids.ts";

/** Reports that one heartbeat carries at most. */
const MAX_REPORTS = 16;
/** Heartbeats to one neighbour that carry the same report. */
const SENDINGS = 2;

/** What was reported of hosts, and what is still to be passed on. */
export interface Gossip {
  /** Own number, raised when this host is said to be down. */
  readonly seq: number;
  isDown(host: HostId): boolean;
  /** Notes that a host was heard with `seq`. */
  noteHeard(host: HostId, seq: number): void;
  /** Says that a host is down, unless it has denied that to this host. */
  suspect(host: HostId): void;
  receive(reports: readonly HostReport[]): void;
  /** Takes the reports for the next heartbeat to `neighbour`. */
  take(neighbour: HostId): HostReport[];
  /** Tells a neighbour that has just started who is down. */
  tellAll(neighbour: HostId): void;
}

interface Pending {
  readonly report: HostReport;
  left: number;
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
  const states = new Map<HostId, HostReport>();
  const pending = new Map<HostId, Map<HostId, Pending>>();
  const denied = new Set<HostId>();
  let { seq } = options;

  function queue(neighbour: HostId, report: HostReport): void {
    const reports = pending.get(neighbour) ?? new Map<HostId, Pending>();
    pending.set(neighbour, reports);
    reports.set(report.host, { report, left: SENDINGS });
  }

  function isNews(report: HostReport): boolean {
    const held = states.get(report.host);
    return !held || report.seq > held.seq ||
      (report.seq === held.seq && report.down && !held.down);
  }

  function note(report: HostReport): void {
    states.set(report.host, report);
    options.listNeighbours().forEach((host) => queue(host, report));
  }

  function receiveOne(report: HostReport): void {
    if (report.host === self) {
      if (report.down && report.seq >= seq) {
        seq = report.seq + 1;
        note({ host: self, seq, down: false });
      }
      return;
    }
    if (isNews(report)) {
      if (!report.down && states.get(report.host)?.down) {
        denied.add(report.host);
      }
      note(report);
    }
  }

  return {
    get seq() {
      return seq;
    },
    isDown: (host) => states.get(host)?.down ?? false,
    noteHeard(host, heardSeq) {
      denied.delete(host);
      const held = states.get(host);
      if (!held || heardSeq > held.seq) {
        const report = { host, seq: heardSeq, down: false };
        states.set(host, report);
        if (held?.down) {
          note(report);
        }
      } else if (held.down && heardSeq === held.seq) {
        queue(host, held);
      }
    },
    suspect(host) {
      const held = states.get(host) ?? { host, seq: 0, down: false };
      if (!held.down && !denied.has(host)) {
        note({ ...held, down: true });
      }
    },
    receive: (reports) => reports.forEach(receiveOne),
    take(neighbour) {
      const reports = pending.get(neighbour);
      if (!reports) {
        return [];
      }
      const taken = [...reports.values()].slice(0, MAX_REPORTS);
      for (const entry of taken) {
        entry.left--;
        if (entry.left === 0) {
          reports.delete(entry.report.host);
        }
      }
      return taken.map((entry) => entry.report);
    },
    tellAll(neighbour) {
      [...states.values()].filter((report) => report.down)
        .forEach((report) => queue(neighbour, report));
    },
  };
}
