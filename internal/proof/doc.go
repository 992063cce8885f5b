// Package proof holds tests of the guarantees with separate processes behind fault-injecting proxies. It has no code of
// its own; docs/promises.md says what each test proves.
package proof
