/**
 * Addresses of the other hosts: those that are registered and those that have
 * introduced themselves since the list was read.
 */

import type { HostId } from "../core/ids.ts";
import type { PoolIo } from "./types.ts";

/** Maximum number of hosts that are known only by their introduction. */
const MAX_INTRODUCED = 32;

/** Addresses that datagrams and streams use. */
export interface AddressBook {
  setRegistered(addresses: ReadonlyMap<HostId, string>): void;
  /** Adds a host that is not registered at this address as far as is known. */
  addIntroduced(host: HostId, address: string): void;
  listIntroduced(): readonly HostId[];
  /** Removes the hosts that are known only by their introduction. */
  clearIntroduced(): void;
}

/** Creates an address book without addresses. */
export function createAddressBook(
  io: Pick<PoolIo, "peers" | "streams" | "log">,
): AddressBook {
  let registered: ReadonlyMap<HostId, string> = new Map();
  const introduced = new Map<HostId, string>();

  function publish(): void {
    const addresses = new Map([...registered, ...introduced]);
    io.peers.setAddresses(addresses);
    io.streams.setAddresses(addresses);
  }

  return {
    setRegistered(addresses) {
      registered = addresses;
      addresses.forEach((_, host) => introduced.delete(host));
      publish();
    },
    addIntroduced(host, address) {
      if (introduced.size < MAX_INTRODUCED || introduced.has(host)) {
        io.log.info("host_introduced", { peer: host, address });
        introduced.set(host, address);
        publish();
      }
    },
    listIntroduced: () => [...introduced.keys()],
    clearIntroduced() {
      if (introduced.size > 0) {
        introduced.clear();
        publish();
      }
    },
  };
}
