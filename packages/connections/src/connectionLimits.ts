/** Descriptors that the platform reserves for files; sockets get the others. */
const FILE_DESCRIPTORS = 200;
/** Shares of the sockets; the rest is for the store, the workers and other hosts. */
const CALLER_SHARE = 1 / 2;
const HOST_LINK_SHARE = 1 / 8;
const PROBE_SHARE = 1 / 16;
/** Share of the memory that requests without an answer may hold. */
const HELD_MEMORY_SHARE = 1 / 10;

/** Limits of the connections to one port. */
export interface ConnectionLimits {
  readonly maxConnections: number;
  /** Maximum bytes that all requests without an answer hold. */
  readonly maxHeldBytes: number;
}

/** Limits of the connections to each port of a host. */
export interface HostLimits {
  readonly callers: ConnectionLimits;
  /** Connections of other hosts. */
  readonly hostLinks: ConnectionLimits;
  /** Connections to the readiness probe, and as many to the metrics. */
  readonly probes: ConnectionLimits;
}

/** Derives the limits from the memory and the descriptors of a host. */
export function limitsOfHost(
  memoryBytes: number,
  descriptors: number,
): HostLimits {
  const sockets = Math.max(0, descriptors - FILE_DESCRIPTORS);
  const heldBytes = memoryBytes * HELD_MEMORY_SHARE;
  const limitsOf = (share: number): ConnectionLimits => ({
    maxConnections: Math.max(1, Math.floor(sockets * share)),
    maxHeldBytes: Math.floor(heldBytes),
  });
  return {
    callers: limitsOf(CALLER_SHARE),
    hostLinks: limitsOf(HOST_LINK_SHARE),
    probes: limitsOf(PROBE_SHARE),
  };
}
