/** Encodes and decodes the records of the log. */
export type {OnMalformed} from './decodeEntries';
export {type OnInvalid, decodeJson, decodeValue} from './decodeJson';
export {decodeHosts, encodeHost} from './hostCodec';
export {
  decodeJournal,
  decodeReserve,
  encodeJournalEntry,
  encodeReserveEntry,
} from './journalCodec';
export {parseJson} from './parseJson';
export {
  decodeProgress,
  encodeProgress,
  greatestProgressBytes,
} from './progressCodec';
export {
  decodeRequests,
  encodeRequestTombstones,
  encodeRequest,
  jobIdsOf,
} from './requestCodec';
export {decodeStates, encodeStateEntry} from './stateCodec';
