import registerMatrixTests from './matrixTest.js';

const hasCut = (cellName: string): boolean => cellName.includes('+cut-domain');

registerMatrixTests(
  ['--pairs', '--pair-count', '60', '--only', '&'],
  [
    {
      name: 'fixed pairs of faults with a cut failure domain: calls run at most once, refusals are true',
      matches: hasCut,
    },
    {
      name: 'fixed pairs of other faults: calls run at most once, refusals are true',
      matches: (cellName) => !hasCut(cellName),
    },
  ],
);
