/** `npm run quickstart`: starts a deployment of stand-ins and entry hosts, sends sample requests and stops it. */
import { parseArgs } from 'node:util';
import { toError } from '@bergamotcove/errors';
import { DEPLOYMENTS } from './deployment/deployments.js';
import startDeployment from './deployment/startDeployment.js';
import runQuickstart from './quickstart/runQuickstart.js';

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

const main = async (): Promise<void> => {
  const { values } = parseArgs({ options: { deployment: { type: 'string', default: 'brescia' } } });
  const spec = DEPLOYMENTS[values.deployment];
  if (spec === undefined) {
    console.error(`quickstart: --deployment: expected one of ${Object.keys(DEPLOYMENTS).join(', ')}`);
    process.exitCode = EXIT_USAGE;
    return;
  }
  console.log(`starting ${spec.name} on loopback`);
  const deployment = await startDeployment(spec);
  try {
    await runQuickstart(spec, deployment, (line) => console.log(line));
  } finally {
    const clean = await deployment.stop();
    console.log(clean ? 'all processes stopped gracefully' : 'a process did not stop gracefully');
    process.exitCode = clean ? 0 : EXIT_FAILED;
  }
};

main().catch((cause: unknown) => {
  console.error(`quickstart: ${toError(cause).message}`);
  process.exitCode = EXIT_FAILED;
});
