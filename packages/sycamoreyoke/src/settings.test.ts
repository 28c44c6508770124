import {expect} from 'chai';
import {z} from 'zod';
import {ValidationError} from './errors.js';
import {readSettings} from './settings.js';

const schema = z.strictObject({
  slots: z.coerce.number().int().min(1).max(100).default(5),
  peerPort: z.coerce.number().int().min(0).max(65_535),
});

// Guards against an operator having to fix invalid settings one at a time.
it('settings: all invalid settings are reported at once', () => {
  const read = () =>
    readSettings('node', schema, ['--slots', '0', '--colour', 'red', 'x'], {
      SYCAMOREYOKE_PEER_PORT: '70000',
      SYCAMOREYOKE_SLOTZ: '1',
      PATH: '/bin',
    });
  expect(read)
    .to.throw(ValidationError)
    .with.property('findings')
    .that.satisfies((findings: Array<{place: string}>) => {
      const places = findings.map(({place}) => place);
      expect(places).to.have.members([
        '--colour',
        'red',
        'x',
        'SYCAMOREYOKE_SLOTZ',
        '--slots (SYCAMOREYOKE_SLOTS)',
        '--peer-port (SYCAMOREYOKE_PEER_PORT)',
      ]);
      return true;
    });
});

// Guards against an environment variable that overrides a flag.
it('settings: a flag takes precedence over a variable', () => {
  const environment = {
    SYCAMOREYOKE_PEER_PORT: '1',
    SYCAMOREYOKE_SLOTS: '2',
  };
  const args = ['--peer-port=3'];
  expect(readSettings('node', schema, args, environment)).to.deep.equal({
    slots: 2,
    peerPort: 3,
  });
});
