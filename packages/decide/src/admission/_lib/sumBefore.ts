/** Backlog of one organisation in virtual time. */
export interface FlowBacklog {
  readonly startTag: number;
  readonly weight: number;
  readonly tokens: number;
  /** Cost in tokens of the item that starts at the start tag. */
  readonly nextTokens: number;
}

/** Change of the linear function of the sum from a tag on. */
interface Change {
  readonly tag: number;
  readonly constant: number;
  readonly slope: number;
}

const toChanges = ({ startTag, weight, tokens, nextTokens }: FlowBacklog): readonly Change[] => {
  const constant = nextTokens - startTag * weight;
  return [
    { tag: startTag, constant, slope: weight },
    { tag: startTag + (tokens - nextTokens) / weight, constant: tokens - constant, slope: -weight },
  ];
};

/**
 * Sums the work that starts up to each of the given tags, over all backlogs. One pass over the sorted tags has a
 * logarithmic cost for each tag; a sum over all backlogs for each tag would have a linear cost.
 *
 * @param flows - backlogs
 * @param tags - points in virtual time, in any order
 * @returns the work before each tag, in the order of the tags
 * @example
 * sumBefore([{ startTag: 0, weight: 1, tokens: 100, nextTokens: 40 }], [30]); // [70]
 */
export default function sumBefore(flows: readonly FlowBacklog[], tags: readonly number[]): readonly number[] {
  const changes = flows.flatMap(toChanges).sort((a, b) => a.tag - b.tag);
  const order = tags.map((_, index) => index).sort((a, b) => (tags[a] as number) - (tags[b] as number));
  const sums = new Array<number>(tags.length).fill(0);
  let next = 0;
  let constant = 0;
  let slope = 0;
  order.forEach((index) => {
    const tag = tags[index] as number;
    for (let change = changes[next]; change !== undefined && change.tag <= tag; change = changes[next]) {
      constant += change.constant;
      slope += change.slope;
      next += 1;
    }
    sums[index] = constant + slope * tag;
  });
  return sums;
}
