package wick

// Outside performs the I/O that the control thread decides on. No method
// blocks: the work runs on traffic goroutines, and its result returns to the
// control thread as an event.
type Outside interface {
	// Renew sends a renewal to a member.
	Renew(to Member, r Renewal)
	// Append adds a record to a stream of the platform's log.
	Append(stream StreamName, rec Record)
	// Fetch asks a daemon for log records.
	Fetch(to Address, f Fetch)
	// Order sends an order to an engine, unless until has passed.
	Order(e Endpoint, o Order, until Instant)
	// Report requests an engine's report.
	Report(e Endpoint)
	// Ask requests load permits from the owner of a store's budget.
	Ask(to Member, g Grant)
	// Tell sends suspect requests to a daemon.
	Tell(to Member, list []Suspect)
}
