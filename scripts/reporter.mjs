// Mocha reporter: prints failures, tolerates those of tests listed in
// KNOWN-RED.txt, and fails when a listed test passes or did not run. A test
// listed as intermittent may pass, since its fault doesn't show in every run.
import {existsSync, readFileSync} from 'node:fs';
import Mocha from 'mocha';

const KNOWN_RED_FILE = new URL('../KNOWN-RED.txt', import.meta.url);
const ENTRY = /^test( \(intermittent\))?: (.+)$/;

function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) return new Map();
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n');
  const entries = lines.map((line) => ENTRY.exec(line)).filter(Boolean);
  return new Map(entries.map(([, mark, title]) => [title, Boolean(mark)]));
}

export default class KnownRedReporter extends Mocha.reporters.Base {
  constructor(runner, options) {
    super(runner, options);
    const knownRed = readKnownRed();
    const seen = new Set();
    const counts = {passed: 0, failed: 0, knownRed: 0};
    runner.on('pass', (test) => {
      seen.add(test.title);
      if (knownRed.get(test.title) === true) {
        counts.passed += 1;
        console.log(`known red, intermittent, passed: ${test.title}`);
      } else if (knownRed.has(test.title)) {
        counts.failed += 1;
        console.log(`listed in KNOWN-RED.txt but passes: ${test.title}`);
      } else {
        counts.passed += 1;
      }
    });
    runner.on('fail', (test, error) => {
      seen.add(test.title);
      if (knownRed.has(test.title)) {
        counts.knownRed += 1;
        console.log(`known red: ${test.title}: ${error.message}`);
      } else {
        counts.failed += 1;
        console.log(`failed: ${test.title}\n${error.stack ?? error.message}`);
      }
    });
    this.finish = (done) => {
      for (const title of knownRed.keys()) {
        if (seen.has(title)) continue;
        counts.failed += 1;
        console.log(`listed in KNOWN-RED.txt but did not run: ${title}`);
      }
      if (counts.knownRed > 0) console.log(`known red: ${counts.knownRed}`);
      console.log(`mocha: ${counts.passed} passed, ${counts.failed} failed`);
      done(counts.failed);
    };
  }

  done(failures, callback) {
    this.finish(callback);
  }
}
