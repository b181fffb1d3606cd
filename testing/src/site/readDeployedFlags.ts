import {readFileSync} from 'node:fs';

const DEPLOY_FILE = 'deploy/system.toml';

/** Reads the flags for Node.js with which the deploy file runs a host. */
export function readDeployedFlags(): string[] {
  const text = readFileSync(DEPLOY_FILE, 'utf8');
  const command = /^run = "node (.*)"$/m.exec(text)?.[1] ?? '';
  return command.split(' ').filter(word => word.startsWith('--'));
}
