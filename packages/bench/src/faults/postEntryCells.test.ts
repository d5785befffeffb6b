import { FAULTS } from './constants.js';
import registerMatrixTests from './matrixTest.js';

registerMatrixTests(
  ['--only', 'post-entry/', '--processes', '6'],
  FAULTS.map((fault) => ({
    name: `non-idempotent request, every step with ${fault}: the call runs at most once and refusals are true`,
    matches: (cellName) => cellName.endsWith(`+${fault}`),
  })),
);
