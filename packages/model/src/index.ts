/** Schemas of settings, declarations, messages and records, and their types. */
export * from './CallerProtocol';
export * from './ConfigurationProtocol';
export * from './Declaration';
export * from './DeclarationCheck';
export * from './PeerProtocol';
export {describeIssue} from './describeIssue';
export * from './PlatformProtocol';
export * from './Resources';
export * from './WorkRecord';
export * from './WorkerProtocol';
