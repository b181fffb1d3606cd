import * as z from 'zod/mini';

const ADDRESS = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/;
const NAME = /^[a-z][a-z0-9-]{0,62}$/;

const addressSchema = z.string().check(z.regex(ADDRESS));
const millisSchema = z.coerce.number().check(z.int(), z.minimum(1));
const fileSchema = z.optional(z.string().check(z.minLength(1)));

/** A peer that is known before the host list is read. */
const SEED = /^[a-z][a-z0-9-]*@[a-z][a-z0-9-]*@[^@,]+$/;

/** What an entry host is told by flags and environment variables. */
export const entrySettingsSchema = z.strictObject({
  name: z.string().check(z.regex(NAME)),
  zone: z.string().check(z.regex(NAME)),
  callerAddress: addressSchema,
  peerAddress: addressSchema,
  statusAddress: addressSchema,
  logUrl: z.url(),
  hostListUrl: z.url(),
  peers: z._default(z.array(z.string().check(z.regex(SEED))), []),
  retentionMillis: z._default(millisSchema, 86_400_000),
  callMillis: z._default(millisSchema, 30_000),
  graceMillis: z._default(millisSchema, 20_000),
  tlsCertificate: fileSchema,
  tlsKey: fileSchema,
  tlsAuthority: fileSchema,
});

/** What an entry host is told by flags and environment variables. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;

/** One setting, as help and errors name it. */
export interface SettingDescription {
  readonly key: keyof EntrySettings;
  readonly flag: string;
  readonly description: string;
  readonly isList?: boolean;
}

/** Every setting of an entry host. */
export const ENTRY_SETTINGS: readonly SettingDescription[] = [
  {
    key: 'name',
    flag: 'name',
    description: 'name of this host: lower-case letters, digits and hyphens',
  },
  {key: 'zone', flag: 'zone', description: 'availability zone of this host'},
  {
    key: 'callerAddress',
    flag: 'caller-address',
    description: 'IP address and port for callers',
  },
  {
    key: 'peerAddress',
    flag: 'peer-address',
    description: 'IP address and port for other entry hosts',
  },
  {
    key: 'statusAddress',
    flag: 'status-address',
    description: 'IP address and port for health, metrics and status',
  },
  {key: 'logUrl', flag: 'log-url', description: "URL of the platform's log"},
  {
    key: 'hostListUrl',
    flag: 'host-list-url',
    description: "URL of the platform's host list",
  },
  {
    key: 'peers',
    flag: 'peer',
    description: 'name@zone@address of a peer; may be given several times',
    isList: true,
  },
  {
    key: 'retentionMillis',
    flag: 'retention-millis',
    description: 'milliseconds that the log keeps records [default: 86400000]',
  },
  {
    key: 'callMillis',
    flag: 'call-millis',
    description: 'milliseconds that a caller waits at most [default: 30000]',
  },
  {
    key: 'graceMillis',
    flag: 'grace-millis',
    description: 'milliseconds to end open calls on a stop [default: 20000]',
  },
  {
    key: 'tlsCertificate',
    flag: 'tls-certificate',
    description: 'file with the certificate chain of this host (PEM)',
  },
  {
    key: 'tlsKey',
    flag: 'tls-key',
    description: 'file with the private key of this host (PEM)',
  },
  {
    key: 'tlsAuthority',
    flag: 'tls-authority',
    description: 'file with the authority that signs the hosts (PEM)',
  },
];
