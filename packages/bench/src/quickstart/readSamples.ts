import { readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { parseServiceDocument, type OperationSpec } from '@bergamotcove/config';
import { exampleFile, ROOT_DIR } from '../deployment/paths.js';

/** A sample request, read from `examples/<deployment>/requests/<service>.<operation>.json`. */
export interface Sample {
  readonly service: string;
  readonly operation: OperationSpec;
  /** Stages that the operation runs. */
  readonly stages: readonly string[];
  /** Request body as JSON text. */
  readonly body: string;
}

const readSample = (deployment: string, directory: string, file: string): Sample => {
  const [service = '', name = ''] = file.split('.');
  const documentFile = exampleFile(deployment, service);
  const document = parseServiceDocument(JSON.parse(readFileSync(documentFile, 'utf8')), { source: documentFile });
  const operation = document.operations.find((candidate) => candidate.name === name);
  if (operation === undefined) {
    throw new Error(`${file}: service ${service} has no operation "${name}"`);
  }
  const stages = operation.stages ?? document.stages.map((stage) => stage.name);
  return { service, operation, stages, body: readFileSync(path.join(directory, file), 'utf8') };
};

/**
 * Reads the sample requests of a deployment.
 *
 * @param deployment - name of the deployment
 * @returns the samples, sorted by file name
 * @throws Error when a file names an operation that its service does not have
 */
export default function readSamples(deployment: string): readonly Sample[] {
  const directory = path.join(ROOT_DIR, 'examples', deployment, 'requests');
  return readdirSync(directory)
    .sort()
    .map((file) => readSample(deployment, directory, file));
}
