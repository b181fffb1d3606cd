import type {ListedHost} from '@samphireramp/model';

/** A host and a port to listen on. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

/** Splits a checked address into its host and port. */
export function parseAddress(address: string): SocketAddress {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return {host, port: Number(address.slice(colon + 1))};
}

/** Reads a peer given as name@zone@address. */
export function parseSeed(seed: string): ListedHost {
  const [name, zone, peerAddress] = seed.split('@');
  return {name, zone, peerAddress, state: 'live'};
}
