/**
 * Graceful stop of a pool host. Admission closes before the work that it lets
 * in is waited for, and execution ends before the connections that carry its
 * answers.
 */

import { nowMs, sleep, waitUntil } from "../core/clock.ts";
import type { Pooler } from "./pooler.ts";
import type { LogFields, PoolLog } from "./types.ts";

/**
 * Time from the signal until no new sessions are routed to the host, in
 * milliseconds: two failed health checks and a margin.
 */
const ROTATION_DELAY_MS = 2_300;

/** Connections of clients, as a stop ends them. */
export interface ClientConnections {
  countConnections(): number;
  /** Returns the number of statements that have no answer yet. */
  countStatements(): number;
  /** Returns the number of connections accepted since the start. */
  countAccepted(): number;
  /**
   * Ends idle sessions. A session that executes a statement or has an open
   * transaction ends once it is idle after an answer.
   */
  drain(): void;
  /**
   * Ends all sessions; those that execute a statement end after its answer,
   * also within a transaction.
   */
  endAll(): void;
  /** Stops to listen and destroys the remaining connections. */
  close(): void;
}

/** Parts of a host that take part in its stop. */
export interface StoppingHost {
  readonly connections: ClientConnections;
  readonly pooler: Pick<
    Pooler,
    | "leave"
    | "isReplacingPrimary"
    | "countForwardedChannels"
    | "closeAdmission"
    | "abortTransactionsWhenIdle"
    | "stop"
  >;
  readonly log: PoolLog;
}

interface Phase {
  readonly event: string;
  /** Fraction of the grace period at which the phase begins. */
  readonly startsAt: number;
  readonly endsExecution?: boolean;
  enter(host: StoppingHost): void;
}

/** Fraction of the grace period after which nothing new is admitted. */
const ADMISSION_FRACTION = 0.5;

/** Phases after new sessions are no longer routed to the host. */
const PHASES: readonly Phase[] = [
  {
    // The rest of the grace period is for the operations admitted until now.
    event: "stop_closes_admission",
    startsAt: ADMISSION_FRACTION,
    enter({ pooler, connections }) {
      pooler.closeAdmission();
      connections.drain();
    },
  },
  {
    event: "stop_aborts_transactions",
    startsAt: 0.55,
    enter({ pooler, connections }) {
      pooler.abortTransactionsWhenIdle();
      connections.drain();
    },
  },
  {
    // Every statement still at work gets its final answer.
    event: "stop_ends_execution",
    startsAt: 0.85,
    endsExecution: true,
    enter({ pooler, connections }) {
      pooler.stop();
      connections.endAll();
    },
  },
];
/** Fraction of the grace period after which remaining connections are cut. */
const CUT_FRACTION = 0.95;
/**
 * Least time for answers to be written after execution has ended, in
 * milliseconds, also in a process that reaches its phases late.
 */
const MIN_ANSWER_MS = 100;
/**
 * Time between two polls above which the process is taken to have been
 * suspended, in milliseconds; above the interval of `waitUntil`.
 */
const SUSPENDED_MS = 50;
/**
 * Least time to read the results that targets have sent during a suspension, in
 * milliseconds, also in a process that reaches the end of its stop late.
 */
const MIN_READ_MS = 100;

/**
 * Stops the host within the grace period, in milliseconds; resolves once
 * nothing is open. The health check must fail from the call on.
 */
export async function shutDown(
  host: StoppingHost,
  { graceMs }: { readonly graceMs: number },
): Promise<void> {
  const { connections, pooler, log } = host;
  const startedAt = nowMs();
  const acceptedBefore = connections.countAccepted();
  let polledAt = startedAt;
  /** End of the last suspension that the stop has noticed. */
  let resumedAt = -Infinity;

  function logPhase(event: string, fields: LogFields = {}): void {
    log.info(event, {
      elapsedMs: Math.round(nowMs() - startedAt),
      sessions: connections.countConnections(),
      statements: connections.countStatements(),
      accepted: connections.countAccepted() - acceptedBefore,
      ...fields,
    });
  }

  function recordPoll(): void {
    if (nowMs() - polledAt > SUSPENDED_MS) {
      resumedAt = nowMs();
    }
    polledAt = nowMs();
  }

  function waitUntilDone(fraction: number, minMs = 0): Promise<boolean> {
    return waitUntil(
      () => {
        recordPoll();
        return connections.countConnections() === 0 &&
          pooler.countForwardedChannels() === 0 && !pooler.isReplacingPrimary();
      },
      Math.max(minMs, startedAt + fraction * graceMs - nowMs()),
    );
  }

  /**
   * Lets statements end that a suspension has kept from ending. Their results
   * are in the buffers of the sockets, which are read after the timers have run,
   * or they were admitted after the suspension, as admission closed late.
   */
  async function waitForDelayed(): Promise<void> {
    if (resumedAt < startedAt + ADMISSION_FRACTION * graceMs) {
      return;
    }
    const deadline = Math.max(
      resumedAt + MIN_READ_MS,
      startedAt + CUT_FRACTION * graceMs - MIN_ANSWER_MS,
    );
    await waitUntil(
      () => connections.countStatements() === 0,
      deadline - nowMs(),
    );
  }

  logPhase("stopping", { graceMs });
  void pooler.leave();
  const rotationMs = Math.min(
    ROTATION_DELAY_MS,
    ADMISSION_FRACTION * graceMs,
  );
  await sleep(rotationMs);
  polledAt = startedAt + rotationMs;
  connections.drain();
  for (const phase of PHASES) {
    if (await waitUntilDone(phase.startsAt)) {
      break;
    }
    if (phase.endsExecution) {
      await waitForDelayed();
    }
    logPhase(phase.event);
    phase.enter(host);
  }
  const isDrained = await waitUntilDone(CUT_FRACTION, MIN_ANSWER_MS);
  logPhase("stopped", { isDrained });
  connections.close();
  pooler.stop();
}
