import { FAULTS } from './constants.js';
import registerMatrixTests from './matrixTest.js';

registerMatrixTests(
  ['--only', 'explain/'],
  FAULTS.map((fault) => ({
    name: `idempotent request, every step with ${fault}: the answer is whole, its own and in time`,
    matches: (cellName) => cellName.endsWith(`+${fault}`),
  })),
);
