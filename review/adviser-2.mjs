/* global setTimeout */
import {createServer} from 'node:http';
import {answerJson, readBody} from './store-2.mjs';

const DECISION_MILLIS = 10;

/** The service at `advice` in the settings: every worker may run every step. */
export async function startAdviser(host, onCall) {
  const server = createServer((request, response) => {
    void readBody(request).then(body => {
      const {step, workers} = JSON.parse(body.toString());
      onCall(step);
      setTimeout(
        () =>
          answerJson(response, 200, {
            good: workers.map(id => [id, `${step}/${id}`]),
            validity_ms: 2500,
          }),
        DECISION_MILLIS,
      );
    });
  });
  await new Promise(resolve => {
    server.listen(0, host, resolve);
  });
  return {
    address: `${host}:${server.address().port}`,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
