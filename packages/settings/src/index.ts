/** Settings in flags and environment variables, checked by schema. */
export {
  ENTRY_SETTINGS,
  entrySettingsSchema,
  type EntrySettings,
} from './EntrySettings';
export {
  ENVIRONMENT_PREFIX,
  SettingsError,
  readEntrySettings,
  type SettingsRequest,
} from './readSettings';
