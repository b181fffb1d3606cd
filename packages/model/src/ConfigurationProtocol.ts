import * as z from 'zod/mini';
import {declarationSchema} from './Declaration';

/** The stream of the log that carries configuration. */
export const CONFIGURATION_STREAM = 'configuration';

/** Asks for a declaration to take the place of the expected revision. */
export const configurationChangeSchema = z.object({
  /** Names this change, so that its own append is recognised on reading. */
  changeId: z.string(),
  author: z.string(),
  /** Revision in force when the operator decided; 0 is none. */
  expectedRevision: z.int(),
  declaration: declarationSchema,
  /** Set when a host re-publishes a revision before retention ends. */
  republishes: z.optional(z.int()),
});

/** Asks for a declaration to take the place of the expected revision. */
export type ConfigurationChange = z.infer<typeof configurationChangeSchema>;

/** A declaration in force. Its revision is one more than its log offset. */
export const revisionSchema = z.object({
  revision: z.int(),
  changeId: z.string(),
  author: z.string(),
  declaration: declarationSchema,
});

/** A declaration in force. */
export type Revision = z.infer<typeof revisionSchema>;

/** What became of a change. */
export const auditEntrySchema = z.object({
  changeId: z.string(),
  author: z.string(),
  /** Milliseconds since 1970 by the log's clock. */
  appendedAt: z.number(),
  fromRevision: z.int(),
  toRevision: z.int(),
  outcome: z.enum(['accepted', 'lost-race', 'unreadable']),
  /** Revision that was in force when a change lost its race. */
  inForce: z.int(),
  changed: z.array(z.string()),
});

/** What became of a change. */
export type AuditEntry = z.infer<typeof auditEntrySchema>;
