// Package proof holds tests of the promises to callers with real processes:
// daemons and stand-ins, built once per run, behind a proxy that injects
// faults. All of it lives in test files.
package proof
