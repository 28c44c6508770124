// Reads the text of a script, and writes V8's code cache of all its functions.
// The argument is the name of the script in stack traces.
import {readFileSync} from 'node:fs';
import Module from 'node:module';
import {setFlagsFromString} from 'node:v8';
import {Script} from 'node:vm';

const source = Module.wrap(readFileSync(0, 'utf8'));
// By default, V8 compiles a function when it is called first.
setFlagsFromString('--no-lazy');
const script = new Script(source, {filename: process.argv[2]});
// The cache holds a hash of the flags.
setFlagsFromString('--lazy');
process.stdout.write(script.createCachedData());
