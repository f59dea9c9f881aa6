/** Ports of addresses that others registered. */

/** Largest port of TCP and UDP. */
const MAX_PORT = 65_535;

/** Whether a socket can be connected to the port; others make it throw. */
export function isPort(port: number): boolean {
  return Number.isInteger(port) && port > 0 && port <= MAX_PORT;
}
