import runSchedule from './runSchedule.js';
import type { Measure } from './types.js';

const SCHEDULES = 1_000;
const QUICK_SCHEDULES = 25;

/** Reverted versions and hosts left behind over many seeded schedules. */
const measureSchedules: Measure = async ({ seed, quick }) => {
  let reverted = 0;
  let behind = 0;
  let accepted = 0;
  const failed: number[] = [];
  const count = quick ? QUICK_SCHEDULES : SCHEDULES;
  for (let index = 0; index < count; index += 1) {
    const result = await runSchedule(seed + index);
    reverted += result.reverted;
    behind += result.behind.length;
    accepted += result.accepted;
    if (result.reverted > 0 || result.behind.length > 0) {
      failed.push(result.seed);
    }
  }
  return {
    measurement: 'schedules',
    seed,
    figures: [
      { name: 'schedules', value: count, unit: '1' },
      { name: 'accepted versions', value: accepted, unit: '1' },
      { name: 'reverted versions', value: reverted, unit: '1' },
      { name: 'hosts behind after healing', value: behind, unit: '1' },
      ...failed.map((value) => ({ name: 'failed seed', value, unit: '' })),
    ],
  };
};

export default measureSchedules;
