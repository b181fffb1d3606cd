/* global Buffer, URL, performance, setTimeout */
// Stand-in of the platform's store: a log whose topics have keys, as PROTOCOL.md
// describes it. It keeps all records, and enforces the sizes that the settings name.
import {createServer} from 'node:http';

const OFFSET_BYTES = 8;
const LENGTH_BYTES = 4;
/** Time that a partition takes for an append, as in the settings. */
const APPEND_MILLIS = 4;
const MAX_RECORD_BYTES = 262_144;
const MAX_CALL_BYTES = 2_097_152;
const MAX_PAGE_KILOBYTES = 1024;
const MAX_ITEMS_PER_PAGE = 500;
const MAX_ITEM_PAGE_BYTES = 1_048_576;
const READ_CHECK_MILLIS = 4;

/** Starts the store at HOST:PORT. `record` is called for each refused append. */
export async function startStore(address, record) {
  const partitions = new Map();
  /** Topics whose partitions are down: calls for them get 503. */
  const downTopics = new Set();

  function partitionOf(topic, part) {
    const name = `${topic}/${part}`;
    if (!partitions.has(name)) {
      partitions.set(name, {records: [], lastAppend: Promise.resolve()});
    }
    return partitions.get(name);
  }

  function put(topic, key, value) {
    partitionOf(topic, 0).records.push({key, value});
  }

  async function append(url, body, response) {
    const topic = url.searchParams.get('topic');
    const part = Number(url.searchParams.get('part'));
    const partition = partitionOf(topic, part);
    const records = decodeFrames(body);
    const largest = Math.max(0, ...records.map(({size}) => size));
    if (body.length > MAX_CALL_BYTES || largest > MAX_RECORD_BYTES) {
      record('store-refused-append', {topic, bytes: body.length, largest});
      send(response, 400, {});
      return;
    }
    const turn = partition.lastAppend.then(() => sleep(APPEND_MILLIS));
    partition.lastAppend = turn;
    await turn;
    const end = partition.records.length;
    const at = url.searchParams.get('at');
    if (at !== null && Number(at) !== end) {
      send(response, 412, {end_offset: end});
      return;
    }
    partition.records.push(...records);
    send(response, 200, {offset: end, end_offset: partition.records.length});
  }

  async function read(url, response) {
    const {records} = partitionOf(
      url.searchParams.get('topic'),
      Number(url.searchParams.get('part')),
    );
    const from = Number(url.searchParams.get('from'));
    const kilobytes = Number(
      url.searchParams.get('max_kilobytes') ?? MAX_PAGE_KILOBYTES,
    );
    const deadline =
      performance.now() + Number(url.searchParams.get('wait_ms') ?? 0);
    while (records.length <= from && performance.now() < deadline) {
      await sleep(READ_CHECK_MILLIS);
    }
    if (downTopics.has(url.searchParams.get('topic'))) {
      send(response, 503, {});
      return;
    }
    const header = Buffer.alloc(2 * OFFSET_BYTES);
    header.writeBigUInt64BE(BigInt(records.length), 0);
    const parts = [header];
    let bytes = 0;
    for (const stored of records.slice(from)) {
      const frame = encodeFrame(stored);
      if (bytes + frame.length > kilobytes * 1024) {
        break;
      }
      bytes += frame.length;
      parts.push(frame);
    }
    response.writeHead(200, {'content-type': 'application/octet-stream'});
    response.end(Buffer.concat(parts));
  }

  function newest(url, response) {
    const {records} = partitionOf(
      url.searchParams.get('topic'),
      Number(url.searchParams.get('part')),
    );
    const byKey = new Map();
    records.forEach(({key, value}, offset) =>
      byKey.set(key, {key, value, offset}),
    );
    const after = url.searchParams.get('after');
    const present = [...byKey.values()]
      .filter(({key, value}) => value.length > 0 && (!after || key > after))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = [];
    let bytes = 0;
    for (const {key, value, offset} of present) {
      const isFull =
        items.length === MAX_ITEMS_PER_PAGE ||
        (items.length > 0 && bytes + value.length > MAX_ITEM_PAGE_BYTES);
      if (isFull) {
        break;
      }
      bytes += value.length;
      items.push({key, value: value.toString('base64'), offset});
    }
    send(response, 200, {
      items,
      has_more: items.length < present.length,
      end_offset: records.length,
    });
  }

  const server = createServer(async (request, response) => {
    const url = new URL(request.url, 'http://store');
    const body = await readBody(request);
    if (downTopics.has(url.searchParams.get('topic'))) {
      send(response, 503, {});
      return;
    }
    if (url.pathname === '/api/log-append') {
      await append(url, body, response);
    } else if (url.pathname === '/api/log-read') {
      await read(url, response);
    } else if (url.pathname === '/api/log-newest') {
      newest(url, response);
    } else {
      send(response, 404, {});
    }
  });
  await listen(server, address);
  return {
    /** Writes a record of the operator or of a worker; false if it is down. */
    put: (topic, key, value) => {
      if (downTopics.has(topic)) {
        return false;
      }
      put(topic, key, value);
      return true;
    },
    setDown: (topic, isDown) =>
      isDown ? downTopics.add(topic) : downTopics.delete(topic),
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

function encodeFrame({key, value}) {
  const keyBytes = Buffer.from(key);
  const header = Buffer.alloc(LENGTH_BYTES + 1);
  header.writeUInt32BE(1 + keyBytes.length + value.length, 0);
  header.writeUInt8(keyBytes.length, LENGTH_BYTES);
  return Buffer.concat([header, keyBytes, value]);
}

function decodeFrames(body) {
  const records = [];
  for (let position = 0; position < body.length;) {
    const size = body.readUInt32BE(position);
    const start = position + LENGTH_BYTES;
    const keyEnd = start + 1 + body.readUInt8(start);
    records.push({
      key: body.subarray(start + 1, keyEnd).toString(),
      value: Buffer.from(body.subarray(keyEnd, start + size)),
      size,
    });
    position = start + size;
  }
  return records;
}

/** Reads the whole body of a request; what arrived if it breaks off. */
export async function readBody(request) {
  const chunks = [];
  try {
    for await (const chunk of request) {
      chunks.push(chunk);
    }
  } catch {
    return Buffer.alloc(0);
  }
  return Buffer.concat(chunks);
}

/** Sends a JSON response. */
export function send(response, status, content) {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(content));
}

/** Has a server listen at HOST:PORT. */
export function listen(server, address) {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), host, resolve);
  });
}

/** Resolves after some milliseconds. */
export function sleep(millis) {
  return new Promise(resolve => {
    setTimeout(resolve, millis);
  });
}
