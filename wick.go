// Package wick defines the domain types of currantwick: named types for ids and
// units, configuration objects, the messages that daemons exchange, the errors
// that callers see, and the interfaces (ports) that the packages below it
// implement.
//
// A daemon runs in one of two modes, because the systems around it differ in the
// storage through which daemons can reach agreement: the verb serve runs it with
// a log that appends unconditionally, the verb gateway on a platform whose store
// can append on a condition. Most concepts therefore exist twice, in two sets of
// types that are not mixed. Names, units, Error and the list of entry points
// serve both.
//
// In the first mode, operators publish the configuration (Objects, Change,
// Verdict) on a Log. The daemons agree through the log on their members (View),
// who hold leases that other members vouch for (Renewal). Each Endpoint has one
// owner among them. It queues all requests for the endpoint (Submission, Frame),
// orders its adapters (Ref, Order, Report), and gets permits for loads from the
// owner of the Store's budget (Grant). Commands that must run at most once are
// claimed on the log (Claim). Callers come in through Front; the ports to back
// ends are Engine and Services. Package boot builds this daemon from
// setup.Settings as a node.Node: its control thread is in ctrl, behind
// ControlIO, and its traffic side in relay, which a caller's request reaches
// first, and owner.
//
// In the second mode, a daemon is a gateway on a hosting platform, which has
// message formats of its own and publishes the configuration (ServingConfig) in a
// RecordStore, where the endpoints also publish their descriptions (Runner). A
// gateway forwards requests directly to any endpoint, which queues them
// (Exchange, Attempt). Only orders for adapters go through a single daemon
// (Weights, Revision, RunnerOrder, RunnerReport): the holder of the endpoint's
// Shard, whose term begins with a conditional append that also yields the fencing
// token (Fence). Daemons and holders exchange loads and placements over links
// (Instance, LinkMessage). Callers come in through Gateway; the ports to back
// ends are Sender and RunnerClient. Package boot builds this daemon from
// DaemonConfig as a boot.Gateway: its control thread is in coord, behind
// GatewayIO, and its traffic side in direct. Package platform translates the
// platform's formats.
//
// This package does no I/O, starts no goroutine and reads no clock, and neither
// do the packages that decide: config, audit, lease, claim, route, place, sched,
// evict and eject for the first mode, terms, slots, facts, choose and admit for the
// second, and limit and crash for both. arch_test.go checks this. All I/O is in
// adapter packages.
package wick

// Checker is a value that validates its own invariants. Wire types with
// invariants implement it. Package codec calls Check on each decoded value that
// implements it.
type Checker interface {
	Check() error
}
