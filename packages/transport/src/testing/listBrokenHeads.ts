/** An answer whose head, or framing, no sound server sends. */
export interface BrokenHead {
  readonly name: string;
  /** Whether it is no response of HTTP/1.1 at all; a client may accept the others. */
  readonly isInvalid: boolean;
  /** Formats the bytes of the answer, one character for each byte, with further fields of the head, each with its line end. */
  readonly format: (fields: string) => string;
}

const BODY = 'whole';
const LENGTH = `Content-Length: ${BODY.length}\r\n`;
const MANY_FIELDS = 3_000;
const LONG_VALUE = 100_000;

const formatHead = (statusLine: string, fields: string): string => `${statusLine}\r\n${fields}\r\n`;

const formatFields =
  (own: string) =>
  (fields: string): string =>
    `${formatHead('HTTP/1.1 200 OK', fields + own + LENGTH)}${BODY}`;

const formatFraming =
  (own: string, body = BODY) =>
  (fields: string): string =>
    formatHead('HTTP/1.1 200 OK', fields + own) + body;

const formatStatusLine =
  (statusLine: string) =>
  (fields: string): string =>
    formatHead(statusLine, fields + LENGTH) + BODY;

const formatChunks = (chunks: string) => formatFraming('Transfer-Encoding: chunked\r\n', chunks);

/** Writes a head before that of a sound answer. */
const formatInterim =
  (status: number, own: string) =>
  (fields: string): string =>
    formatHead(`HTTP/1.1 ${status} Interim`, own) + formatFields('')(fields);

const INVALID_STATUSES = ['000', '001', '042', '099', '101', '600', '999', '1e2', '20', '2000', '', 'abc', '-20'];
const INVALID_STATUS_LINES = [
  'HTTP/9.9 200 OK',
  'XTTP/1.1 200 OK',
  'HTTP/1.1\t200 OK',
  'ICY 200 OK',
  'GET / HTTP/1.1',
  'PRI * HTTP/2.0',
  '\x16\x03\x01\x02\x00\x01\x00',
  '\x00\x01junk',
];
/** Bytes that no name of a field holds, by what they are. */
const NAME_BYTES = { blank: ' ', tab: '\t', 'control byte': '\x01', NUL: '\0', DEL: '\x7f', 'high byte': '\x80' };
const NAME_MARKS = { bracket: '[', quote: '"' };
const VALUE_BYTES = { 'control byte': '\x01', NUL: '\0', DEL: '\x7f', 'bare CR': '\r' };
const INVALID_LENGTHS = ['-1', '+5', '5 5', '0x5', '1e1', 'a', '99999999999999999999999'];
const INVALID_CHUNKS = ['g\r\n', '-1\r\n', 'ffffffffffffffffff\r\n', '5\r\nwhole\r\n0\r\nBad Name: 1\r\n\r\n'];
const ODD_KEEP_ALIVES = ['timeout=0', 'timeout=-1', 'timeout=99999999999', `timeout=${'9'.repeat(400)}`, '=,;"'];

const listInvalid = (): readonly (readonly [string, BrokenHead['format']])[] => [
  ...INVALID_STATUSES.map((status) => [`status "${status}"`, formatStatusLine(`HTTP/1.1 ${status} Odd`)] as const),
  ...INVALID_STATUS_LINES.map((line) => [`status line ${JSON.stringify(line)}`, formatStatusLine(line)] as const),
  ...Object.entries({ ...NAME_BYTES, ...NAME_MARKS }).map(
    ([name, byte]) => [`a name that holds a ${name}`, formatFields(`X-${byte}A: 1\r\n`)] as const,
  ),
  ...Object.entries(NAME_BYTES).flatMap(([name, byte]) => [
    [`a name that ends with a ${name}`, formatFields(`X-A${byte}: 1\r\n`)] as const,
    [`a length whose name ends with a ${name}`, formatFraming(`Content-Length${byte}: ${BODY.length}\r\n`)] as const,
    [`an encoding whose name ends with a ${name}`, formatFraming(`Transfer-Encoding${byte}: chunked\r\n`)] as const,
  ]),
  ['a first name that begins with a blank', (fields) => formatFields('')(` X-A: 1\r\n${fields}`)],
  ['an empty name', formatFields(': 1\r\n')],
  ['a field without a colon', formatFields('X-A\r\n')],
  ...Object.entries(VALUE_BYTES).map(
    ([name, byte]) => [`a value that holds a ${name}`, formatFields(`X-A: 1${byte}2\r\n`)] as const,
  ),
  ...INVALID_LENGTHS.map((length) => [`length ${length}`, formatFraming(`Content-Length: ${length}\r\n`)] as const),
  ['two lengths', formatFraming('Content-Length: 5\r\nContent-Length: 4\r\n')],
  ['a length and an encoding', formatFraming(`${LENGTH}Transfer-Encoding: chunked\r\n`)],
  ...INVALID_CHUNKS.map((chunk) => [`chunk ${JSON.stringify(chunk)}`, formatChunks(chunk)] as const),
  [`a value of ${LONG_VALUE} bytes`, formatFields(`X-A: ${'x'.repeat(LONG_VALUE)}\r\n`)],
  ['an interim answer with a blank in a name', formatInterim(103, 'X A: 1\r\n')],
  ['an interim answer with a control byte in a value', formatInterim(103, 'X-A: \x01\r\n')],
];

const listOdd = (): readonly (readonly [string, BrokenHead['format']])[] => [
  ['another version', formatStatusLine('HTTP/2.0 200 OK')],
  [`${MANY_FIELDS} fields`, formatFields('X-A: 1\r\n'.repeat(MANY_FIELDS))],
  ['a control byte in the reason', formatStatusLine('HTTP/1.1 200 O\x01K')],
  ['NUL in the reason', formatStatusLine('HTTP/1.1 200 O\0K')],
  ['high bytes in a value', formatFields('X-A: \xff\xfe\r\n')],
  ['a folded line', formatFields('X-A: 1\r\n 2\r\n')],
  ['a name that all objects have', formatFields('__proto__: 1\r\nconstructor: 2\r\ntoString: 3\r\n')],
  ['a trailer beside a length', formatFields('Trailer: X-Sum\r\n')],
  ['a switch of protocols', formatFields('Connection: Upgrade\r\nUpgrade: h2c\r\n')],
  ['an interim answer with a length', formatInterim(103, LENGTH)],
  ['an interim answer that is chunked', formatInterim(102, 'Transfer-Encoding: chunked\r\n')],
  ['an interim status that is unknown', formatInterim(199, '')],
  ['a second answer behind it', (fields) => formatFields('')(fields).repeat(2)],
  ['junk behind it', (fields) => `${formatFields('')(fields)}\x00\x01junk\r\n\r\n`],
  ...ODD_KEEP_ALIVES.map((value) => [`Keep-Alive: ${value}`, formatFields(`Keep-Alive: ${value}\r\n`)] as const),
];

/** Lists broken heads for tests of everything that reads answers. */
export default function listBrokenHeads(): readonly BrokenHead[] {
  return [
    ...listInvalid().map(([name, format]) => ({ name, isInvalid: true, format })),
    ...listOdd().map(([name, format]) => ({ name, isInvalid: false, format })),
  ];
}
