// Package proof tests the guarantees to callers with separate processes: daemons,
// and fakes of the platform and the runners, connected through a proxy that
// injects faults. TestMain builds the executables once. The package contains
// tests only.
package proof
