/** How the product's records are written in the log. */
export {decodeHosts, encodeHost} from './hostCodec';
export {decodeJournal, encodeJournalEntry} from './journalCodec';
export {parseJson} from './parseJson';
export {decodeProgress, encodeProgress} from './progressCodec';
export {
  decodeRequests,
  encodeForgottenRequests,
  encodeRequest,
} from './requestCodec';
