/** Faults of a run as a pure function of its seed. */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { mersenne } from "pure-rand/generator/mersenne";
import { GRACE_S, STABLE_MS } from "./bounds.ts";

const MS_PER_SECOND = 1_000;
const GRACE_MS = GRACE_S * MS_PER_SECOND;
/** Time for hosts and clients to settle before the first fault. */
const WARM_UP_MS = 4_000;
/** Span in which the faults of an episode begin. */
const EPISODE_MS = 6_000;
/** Faults of an episode. */
const MIN_FAULTS = 2;
const MAX_FAULTS = 5;
/** Longest fault that lasts for a time, except a dark primary. */
const MAX_FAULT_MS = 3_000;
/** Time that a primary stays dark: enough for hosts to replace it. */
const DARK_MS = 8_000;

/** What a faulty target does to statements. */
export type TargetEffect = "loses_replies" | "refuses" | "is_silent" | "closes";

const TARGET_EFFECTS: readonly TargetEffect[] = [
  "loses_replies",
  "refuses",
  "is_silent",
  "closes",
];

/** Link between processes, by the index of its far or near end. */
export type Link =
  | { readonly kind: "clients"; readonly host: number }
  | { readonly kind: "store"; readonly host: number }
  | {
    readonly kind: "target";
    readonly group: number;
    readonly target: number;
  };

/** What happens to the connections of a link. */
export type LinkEffect =
  | "delays"
  | "resets"
  | "holds_requests"
  | "holds_replies"
  | "holds_both"
  | "silences";

const LINK_EFFECTS: readonly LinkEffect[] = [
  "delays",
  "resets",
  "holds_requests",
  "holds_replies",
  "holds_both",
  "silences",
];

/** Fault injected from outside; hosts, groups and targets by index. */
export type Fault =
  | {
    readonly kind: "stop";
    readonly host: number;
    /** Time until a second SIGTERM; undefined if there is none. */
    readonly repeatMs: number | undefined;
  }
  | { readonly kind: "reload"; readonly host: number }
  | { readonly kind: "configure" }
  | { readonly kind: "split"; readonly link: Link; readonly ms: number }
  | {
    readonly kind: "link";
    readonly link: Link;
    readonly effect: LinkEffect;
    readonly ms: number;
  }
  | { readonly kind: "kill"; readonly host: number }
  | { readonly kind: "freeze"; readonly host: number; readonly ms: number }
  | {
    readonly kind: "target";
    readonly group: number;
    readonly target: number;
    readonly effect: TargetEffect;
    readonly ms: number;
  }
  | {
    readonly kind: "primary_dark";
    readonly group: number;
    readonly ms: number;
  }
  | { readonly kind: "store_down"; readonly ms: number }
  | { readonly kind: "store_slow"; readonly ms: number };

/** Fault with its time after the start. */
export interface ScheduledFault {
  readonly atMs: number;
  readonly fault: Fault;
}

/** Size of a run. */
export interface SoakPlan {
  readonly seed: number;
  readonly durationMs: number;
  readonly hosts: number;
  readonly groups: number;
  readonly targetsPerGroup: number;
  /**
   * Workspaces without clients. With more workspaces than connections a host,
   * hosts forward to each other.
   */
  readonly idleWorkspaces?: number;
}

/** Kinds of planned work, by how often they are drawn. */
const PLANNED: readonly Fault["kind"][] = [
  "stop",
  "stop",
  "stop",
  "reload",
  "configure",
  "split",
];
const ALL: readonly Fault["kind"][] = [
  "stop",
  "stop",
  "reload",
  "configure",
  "kill",
  "kill",
  "freeze",
  "freeze",
  "target",
  "target",
  "link",
  "link",
  "link",
  "split",
  "primary_dark",
  "store_down",
  "store_slow",
];

/**
 * Plans the faults of a run: episodes of planned work, in which every lost
 * answer counts, alternate with episodes of any faults.
 */
export function planFaults(plan: SoakPlan): readonly ScheduledFault[] {
  const generator = mersenne(plan.seed);
  const draw = (below: number) => uniformInt(generator, 0, below - 1);
  const faults: ScheduledFault[] = [];
  let startMs = WARM_UP_MS;
  for (let isPlanned = true;; isPlanned = !isPlanned) {
    // A disruption may last for its own time and the start of a host.
    const settleMs = isPlanned ? GRACE_MS : DARK_MS + STABLE_MS;
    if (startMs + EPISODE_MS + GRACE_MS > plan.durationMs) {
      return faults;
    }
    const kinds = isPlanned ? PLANNED : ALL;
    const count = MIN_FAULTS + draw(MAX_FAULTS - MIN_FAULTS + 1);
    const episode = Array.from({ length: count }, (_, i) => ({
      atMs: startMs + draw(EPISODE_MS),
      fault: drawFault(
        isPlanned && i === 0 ? "stop" : kinds[draw(kinds.length)]!,
        { plan, draw },
      ),
    }));
    faults.push(...episode.sort((a, b) => a.atMs - b.atMs));
    startMs += EPISODE_MS + settleMs;
  }
}

function drawFault(
  kind: Fault["kind"],
  { plan, draw }: {
    readonly plan: SoakPlan;
    readonly draw: (below: number) => number;
  },
): Fault {
  const host = draw(plan.hosts);
  const group = draw(plan.groups);
  const ms = MAX_FAULT_MS / 6 + draw(MAX_FAULT_MS * 5 / 6);
  switch (kind) {
    case "stop":
      return {
        kind,
        host,
        repeatMs: draw(3) === 0 ? draw(GRACE_MS) : undefined,
      };
    case "reload":
    case "kill":
      return { kind, host };
    case "configure":
      return { kind };
    case "freeze":
      return { kind, host, ms };
    case "split":
      return { kind, link: drawLink(plan, draw), ms };
    case "link":
      return {
        kind,
        link: drawLink(plan, draw),
        effect: LINK_EFFECTS[draw(LINK_EFFECTS.length)]!,
        ms,
      };
    case "target":
      return {
        kind,
        group,
        target: draw(plan.targetsPerGroup),
        effect: TARGET_EFFECTS[draw(TARGET_EFFECTS.length)]!,
        ms,
      };
    case "primary_dark":
      return { kind, group, ms: DARK_MS };
    case "store_down":
    case "store_slow":
      return { kind, ms };
  }
}

function drawLink(plan: SoakPlan, draw: (below: number) => number): Link {
  switch (draw(3)) {
    case 0:
      return { kind: "clients", host: draw(plan.hosts) };
    case 1:
      return { kind: "store", host: draw(plan.hosts) };
    default:
      return {
        kind: "target",
        group: draw(plan.groups),
        target: draw(plan.targetsPerGroup),
      };
  }
}
