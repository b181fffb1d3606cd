/** The configuration in force on a host, its age, and which calls it admits. */
export {
  type Admission,
  type AdmissionBasis,
  type AdmissionTerms,
  type ConfigurationKnowledge,
  type IncomingCall,
  admitCall,
} from './admission';
export {createConfigurationPlugin} from './configurationPlugin';
export {
  CONFIGURATION_IN_FORCE,
  CONFIGURATION_READ,
  CONFIGURATION_READ_AT,
  NEWEST_KNOWN_REVISION,
  READ_CONFIGURATION_NOW,
  REVISION_KNOWN,
  SITE_CONFIGURATION,
  clientAccountsOf,
  configurationAgeMillis,
  configurationKnowledge,
} from './configurationState';
