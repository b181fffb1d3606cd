import {
  type Declaration,
  type DeclarationFault,
  checkDeclaration,
} from '@samphireramp/model';
import {readFileSync} from 'node:fs';
import {Err, Ok, type Result} from 'ts-results-es';
import {type Document, LineCounter, isNode, parseDocument} from 'yaml';

/** A fault of a declaration file and where it stands. */
export interface FileFault {
  readonly file: string;
  readonly line: number;
  readonly column: number;
  readonly place: string;
  readonly message: string;
}

/** Reads and checks a declaration file. */
export function readDeclaration(
  file: string,
): Result<Declaration, FileFault[]> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return Err([{file, line: 0, column: 0, place: 'file', message}]);
  }
  return parseDeclaration(file, text);
}

/** Checks the text of a declaration file. */
export function parseDeclaration(
  file: string,
  text: string,
): Result<Declaration, FileFault[]> {
  const lineCounter = new LineCounter();
  const document = parseDocument(text, {lineCounter, prettyErrors: false});
  if (document.errors.length > 0) {
    const faults = document.errors.map(error => ({
      file,
      ...positionOf(lineCounter, error.pos[0]),
      place: 'file',
      message: error.message,
    }));
    return Err(faults);
  }
  const checked = checkDeclaration(document.toJS());
  return checked.isOk()
    ? Ok(checked.value)
    : Err(
        checked.error.map(fault => locate(file, document, lineCounter, fault)),
      );
}

/** One line for a fault: where, what, and what was expected. */
export function formatFault(fault: FileFault): string {
  const {file, line, column, place, message} = fault;
  return `${file}:${line}:${column}: ${place} ${message}`;
}

function locate(
  file: string,
  document: Document,
  lineCounter: LineCounter,
  {path, message}: DeclarationFault,
): FileFault {
  const place = path.length === 0 ? 'declaration' : formatPath(path);
  const offset = offsetOf(document, path);
  return {file, ...positionOf(lineCounter, offset), place, message};
}

/** The start of the nearest part of the file that a path leads to. */
function offsetOf(
  document: Document,
  path: ReadonlyArray<string | number>,
): number {
  for (let length = path.length; length > 0; length--) {
    const node = document.getIn(path.slice(0, length), true);
    if (isNode(node) && node.range) {
      return node.range[0];
    }
  }
  return 0;
}

function positionOf(lineCounter: LineCounter, offset: number) {
  const {line, col} = lineCounter.linePos(offset);
  return {line, column: col};
}

function formatPath(path: ReadonlyArray<string | number>): string {
  return path
    .map(part => (typeof part === 'number' ? `[${part}]` : `.${part}`))
    .join('')
    .replace(/^\./, '');
}
