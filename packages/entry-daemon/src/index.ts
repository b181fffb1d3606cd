/** The program of an entry host, for those who embed it. */
export {createEntryHost, type EntryHost} from './createEntryHost';
