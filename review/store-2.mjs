/* global Buffer, URL, clearTimeout, setTimeout */
import {createServer} from 'node:http';

/** Reads the body of a request. */
export async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** Answers a request with JSON. */
export function answerJson(response, status, content) {
  const body = Buffer.from(JSON.stringify(content));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.length,
  });
  response.end(body);
}

function frame(record) {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(record.length);
  return Buffer.concat([header, record]);
}

function unframe(body) {
  const records = [];
  for (let position = 0; position < body.length;) {
    const start = position + 4;
    const end = start + body.readUInt32BE(position);
    records.push(body.subarray(start, end));
    position = end;
  }
  return records;
}

function keyOf(record) {
  return record.subarray(1, 1 + record.readUInt8(0)).toString();
}

function valueOf(record) {
  return record.subarray(1 + record.readUInt8(0));
}

/**
 * The platform's store: a log of topics with partitions, as PROTOCOL.md describes it,
 * of which nothing expires. `appendMillis` is the time of an append.
 */
export class Store {
  constructor({appendMillis = 4} = {}) {
    this.appendMillis = appendMillis;
    /** Records by topic and partition. */
    this.logs = new Map();
    this.waiting = new Set();
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
  }

  async listen(host, port = 0) {
    await new Promise(resolve => {
      this.server.listen(port, host, resolve);
    });
    return `${host}:${this.server.address().port}`;
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  records(topic, part = 0) {
    const name = `${topic}/${part}`;
    const known = this.logs.get(name);
    if (known !== undefined) {
      return known;
    }
    const created = [];
    this.logs.set(name, created);
    return created;
  }

  /** Writes a value under a key, as the operator and the workers do. */
  put(topic, key, content) {
    const keyBytes = Buffer.from(key);
    const value =
      content === undefined
        ? Buffer.alloc(0)
        : Buffer.from(JSON.stringify(content));
    this.append(topic, 0, [
      Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value]),
    ]);
  }

  append(topic, part, records) {
    this.records(topic, part).push(...records);
    for (const wake of [...this.waiting]) {
      wake();
    }
  }

  async handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const topic = url.searchParams.get('topic');
    const part = Number(url.searchParams.get('part') ?? 0);
    const body = await readBody(request);
    switch (url.pathname) {
      case '/api/log-append':
        await this.handleAppend(url, topic, part, body, response);
        return;
      case '/api/log-newest':
        this.handleNewest(url, topic, part, response);
        return;
      case '/api/log-read':
        await this.handleRead(url, topic, part, response);
        return;
      default:
        answerJson(response, 404, {});
    }
  }

  async handleAppend(url, topic, part, body, response) {
    await sleep(this.appendMillis);
    const log = this.records(topic, part);
    const at = url.searchParams.get('at');
    if (at !== null && Number(at) !== log.length) {
      answerJson(response, 412, {end_offset: log.length});
      return;
    }
    const offset = log.length;
    this.append(topic, part, unframe(body));
    answerJson(response, 200, {offset, end_offset: log.length});
  }

  handleNewest(url, topic, part, response) {
    const newest = new Map();
    const log = this.records(topic, part);
    log.forEach((record, offset) => {
      const key = keyOf(record);
      newest.delete(key);
      if (valueOf(record).length > 0) {
        newest.set(key, {
          key,
          value: valueOf(record).toString('base64'),
          offset,
        });
      }
    });
    const after = url.searchParams.get('after') ?? '';
    const left = [...newest.values()]
      .filter(({key}) => key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    answerJson(response, 200, {
      items: left.slice(0, 500),
      has_more: left.length > 500,
      end_offset: log.length,
    });
  }

  async handleRead(url, topic, part, response) {
    const log = this.records(topic, part);
    const from = Number(url.searchParams.get('from'));
    const waitMillis = Number(url.searchParams.get('wait_ms') ?? 0);
    if (log.length <= from && waitMillis > 0) {
      await this.waitFor(() => log.length > from, waitMillis);
    }
    const maxBytes =
      1024 * Number(url.searchParams.get('max_kilobytes') ?? 1024);
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(log.length), 0);
    const parts = [header];
    let bytes = 0;
    for (const record of log.slice(from)) {
      bytes += record.length + 4;
      if (bytes > maxBytes && parts.length > 1) {
        break;
      }
      parts.push(frame(record));
    }
    response.writeHead(200, {'content-type': 'application/octet-stream'});
    response.end(Buffer.concat(parts));
  }

  async waitFor(condition, millis) {
    await new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer);
        this.waiting.delete(wake);
        resolve();
      };
      const wake = () => condition() && finish();
      const timer = setTimeout(finish, millis);
      this.waiting.add(wake);
    });
  }
}

/** Resolves after a time. */
export function sleep(millis) {
  return new Promise(resolve => {
    setTimeout(resolve, millis);
  });
}
