// Package proof tests the guarantees to callers with real processes: daemons and
// fakes of the platform and the runners, built once per test run and connected
// through a proxy that injects faults. The package contains tests only.
package proof
