/**
 * How a change reaches a large fleet within the control budget, with hosts
 * failing on the way. Prints a table; the same for the same seed.
 */

import Table from "cli-table3";
import { pack } from "msgpackr";
import { mersenne } from "pure-rand/generator/mersenne";
import { asId, type HostId } from "../../src/core/ids.ts";
import { listNeighbours } from "../../src/core/neighbours.ts";

const HOSTS = 3_200;
const DOMAINS = 17;
const SEEDS = [1, 2, 3, 4, 5];
const BUDGET_BYTES_PER_S = 18_000;
const TARGET_S = 13;
const LIMIT_S = 60;
const STEP_S = 0.05;
/** Time after which a pull from a lost host is given up. */
const PULL_TIMEOUT_S = 0.4;
/** Hosts fail at random times up to this one. */
const FAILING_S = 5;
const UINT32_RANGE = 2 ** 32;

type Scheme = "watcher of the domain" | "neighbours";
type Loss = "none" | "1 in 100 hosts" | "a failure domain";

interface Node {
  readonly index: number;
  readonly sources: readonly number[];
  readonly failsAt: number;
  /** Time from which it holds the change. */
  heldAt: number;
  /** Transfers between the platform and this host. */
  depth: number;
  sendingUntil: number;
  busyUntil: number;
  pulling: { readonly from: number; readonly until: number } | undefined;
}

interface Run {
  readonly scheme: Scheme;
  readonly loss: Loss;
  readonly changeBytes: number;
  readonly seed: number;
}

interface Outcome {
  readonly seconds: number;
  readonly rounds: number;
  readonly missed: number;
}

const IDS = Array.from({ length: HOSTS }, (_, i) => asId<HostId>(`h${i + 1}`));

/** The neighbours of each host, by index. */
const NEIGHBOURS = IDS.map((id) =>
  listNeighbours(id, IDS).map((host) => Number(host.slice(1)) - 1)
);

/** What heartbeats to and from all neighbours leave of the budget. */
function getChangeBudget(): number {
  const heartbeat = pack({
    kind: "heartbeat",
    host: IDS.at(-1),
    domain: "domain-17",
    incarnation: "0123456789a",
    seq: 1_800_000_000_000,
    leaving: false,
    revision: 1_000_000,
    versions: [],
  });
  const count = Math.max(...NEIGHBOURS.map((list) => list.length));
  return BUDGET_BYTES_PER_S - 2 * count * heartbeat.length;
}

function createNodes(run: Run, random: () => number): Node[] {
  const lostDomain = Math.floor(random() * DOMAINS);
  return IDS.map((_, index) => {
    const isLost = run.loss === "a failure domain"
      ? index % DOMAINS === lostDomain
      : run.loss === "1 in 100 hosts" && random() < 0.01;
    const isWatcher = index < DOMAINS;
    return {
      index,
      sources: run.scheme === "neighbours"
        ? NEIGHBOURS[index]!
        : [index % DOMAINS],
      failsAt: isLost ? random() * FAILING_S : Infinity,
      heldAt: isWatcher ? 0 : Infinity,
      depth: isWatcher ? 1 : Infinity,
      sendingUntil: 0,
      busyUntil: 0,
      pulling: undefined,
    };
  });
}

/** Ends a transfer that is over; a lost sender is noticed by the timeout. */
function finishPull(nodes: readonly Node[], node: Node, now: number): void {
  const { pulling } = node;
  const sender = pulling && nodes[pulling.from]!;
  if (!pulling || !sender) {
    return;
  }
  if (sender.failsAt <= Math.min(now, pulling.until)) {
    node.pulling = undefined;
    node.busyUntil = now + PULL_TIMEOUT_S;
  } else if (pulling.until <= now) {
    node.heldAt = now;
    node.depth = sender.depth + 1;
    node.pulling = undefined;
  }
}

/** Asks a random source that holds the change and sends to nobody else. */
function startPull(
  nodes: readonly Node[],
  node: Node,
  given: { readonly now: number; readonly s: number; random(): number },
): void {
  const { now, s, random } = given;
  const free = node.sources.filter((index) => {
    const source = nodes[index]!;
    return source.heldAt < now && source.failsAt > now &&
      source.sendingUntil <= now;
  });
  const from = free[Math.floor(random() * free.length)];
  if (from !== undefined) {
    const until = now + Math.max(s, STEP_S);
    node.pulling = { from, until };
    nodes[from]!.sendingUntil = until;
  }
}

function simulate(run: Run, bytesPerS: number): Outcome {
  const generator = mersenne(run.seed);
  const random = () => (generator.next() >>> 0) / UINT32_RANGE;
  const nodes = createNodes(run, random);
  const s = run.changeBytes / bytesPerS;
  let now = 0;
  const isMissing = (node: Node) =>
    node.heldAt === Infinity && node.failsAt > now;
  while (now < LIMIT_S && nodes.some(isMissing)) {
    now += STEP_S;
    for (const node of nodes.filter(isMissing)) {
      finishPull(nodes, node, now);
      if (!node.pulling && node.heldAt === Infinity && node.busyUntil <= now) {
        startPull(nodes, node, { now, s, random });
      }
    }
  }
  const held = nodes.filter((node) => node.heldAt < Infinity);
  return {
    seconds: now,
    rounds: Math.max(...held.map((node) => node.depth)) - 1,
    missed: nodes.filter(isMissing).length,
  };
}

function main(): void {
  const bytesPerS = getChangeBudget();
  // Each round at most doubles the hosts that hold the change.
  const bound = Math.ceil(Math.log2(HOSTS / DOMAINS));
  console.log(
    `${HOSTS} hosts, ${DOMAINS} watchers, ${bytesPerS} of ` +
      `${BUDGET_BYTES_PER_S} bytes/s left by heartbeats; ` +
      `ceil(log2 ${HOSTS}) = ${Math.ceil(Math.log2(HOSTS))} rounds from one ` +
      `host, ${bound} from ${DOMAINS}`,
  );
  const table = new Table({
    head: [
      ..."pulled from,lost,bytes,worst s,rounds,bound,bound s,missed,in time"
        .split(","),
    ],
    style: { head: [], border: [] },
  });
  for (const scheme of ["watcher of the domain", "neighbours"] as const) {
    for (
      const loss of ["none", "1 in 100 hosts", "a failure domain"] as const
    ) {
      for (const changeBytes of [300, 4_000, 16_000]) {
        const outcomes = SEEDS.map((seed) =>
          simulate({ scheme, loss, changeBytes, seed }, bytesPerS)
        );
        const worst = Math.max(...outcomes.map((o) => o.seconds));
        const missed = Math.max(...outcomes.map((o) => o.missed));
        table.push([
          scheme,
          loss,
          changeBytes,
          worst.toFixed(2),
          Math.max(...outcomes.map((o) => o.rounds)),
          bound,
          (bound * changeBytes / bytesPerS).toFixed(2),
          missed,
          worst <= TARGET_S && missed === 0 ? "yes" : "no",
        ]);
      }
    }
  }
  console.log(table.toString());
}

main();
