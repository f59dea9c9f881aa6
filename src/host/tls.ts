/** Loads certificates from files, and reloads them when the files change. */

import { readFileSync } from "node:fs";
import type { IncomingMessage } from "node:http";
import { createServer as createHttpServer, type Server } from "node:http";
import { createServer as createHttpsServer } from "node:https";
import { BlockList, isIP } from "node:net";
import {
  createSecureContext,
  type PeerCertificate,
  type TLSSocket,
} from "node:tls";
import type { HostId } from "../core/ids.ts";
import type { Stoppable } from "../core/types.ts";
import type { Tls } from "../generated/settings.ts";

/** Interval between checks of the files for changes. */
export const RELOAD_INTERVAL_MS = 5_000;

/** Contents of the certificate files, in PEM format. */
export interface TlsContent {
  readonly cert: string;
  readonly key: string;
  readonly ca?: string;
}

/** Certificates that are reloaded when their files change. */
export interface ReloadingTls extends Stoppable {
  readonly content: TlsContent;
  /** Calls `listener` after a reload of changed, valid files. */
  onReload(listener: (content: TlsContent) => void): void;
}

/** Loads the certificates; throws if they are unreadable or invalid. */
export function createReloadingTls(files: Tls): ReloadingTls {
  const listeners: ((content: TlsContent) => void)[] = [];
  let content = readContent(files);
  createSecureContext(content);

  function reload(): void {
    const next = tryReadValidContent(files);
    if (next && JSON.stringify(next) !== JSON.stringify(content)) {
      content = next;
      listeners.forEach((listener) => listener(next));
    }
  }

  const timer = setInterval(reload, RELOAD_INTERVAL_MS);
  return {
    get content() {
      return content;
    },
    onReload: (listener) => void listeners.push(listener),
    stop: () => clearInterval(timer),
  };
}

function readContent({ certFile, keyFile, caFile }: Tls): TlsContent {
  return {
    cert: readFileSync(certFile, "utf8"),
    key: readFileSync(keyFile, "utf8"),
    ...(caFile ? { ca: readFileSync(caFile, "utf8") } : {}),
  };
}

/** Returns undefined if the files do not match, as during a replacement. */
function tryReadValidContent(files: Tls): TlsContent | undefined {
  try {
    const content = readContent(files);
    createSecureContext(content);
    return content;
  } catch {
    return undefined;
  }
}

/**
 * Creates an HTTP server, or an HTTPS server if `tls` is set. Throws if neither
 * TLS nor a loopback address is used.
 */
export function createTlsServer(
  address: string,
  options: {
    readonly tls: ReloadingTls | undefined;
    /** Whether clients need a certificate of the same authority. */
    readonly requestCert?: boolean;
  },
): Server {
  const { tls, requestCert = false } = options;
  if (!tls) {
    if (!isLoopback(address)) {
      throw new Error(`${address} needs TLS: it is not a loopback address`);
    }
    return createHttpServer();
  }
  const server = createHttpsServer({
    ...tls.content,
    requestCert,
    rejectUnauthorized: requestCert,
  });
  tls.onReload((content) => server.setSecureContext(content));
  return server;
}

const LOOPBACK_ADDRESSES = new BlockList();
LOOPBACK_ADDRESSES.addSubnet("127.0.0.0", 8, "ipv4");
LOOPBACK_ADDRESSES.addAddress("::1", "ipv6");

/** Whether an address is only reachable from the local machine. */
export function isLoopback(address: string): boolean {
  const host = address.replace(/^\[(.*)\]$/, "$1");
  const family = isIP(host);
  return host === "localhost" ||
    (family !== 0 &&
      LOOPBACK_ADDRESSES.check(host, family === 4 ? "ipv4" : "ipv6"));
}

/** Whether a certificate has the host as subject or alternative name. */
export function isCertificateFor(cert: PeerCertificate, host: HostId): boolean {
  const names = (cert.subjectaltname ?? "").split(", ");
  return cert.subject?.CN === host || names.includes(`DNS:${host}`);
}

/** Whether the client of a request is authenticated as `host`. */
export function isAuthenticated(req: IncomingMessage, host: HostId): boolean {
  const socket = req.socket as Partial<TLSSocket>;
  return socket.authorized === true &&
    socket.getPeerCertificate !== undefined &&
    isCertificateFor(socket.getPeerCertificate(), host);
}
