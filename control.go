package wick

// ControlIO performs the I/O that the control thread decides on. No method
// blocks: the work runs on traffic goroutines, and its result returns to the
// control thread as an event.
type ControlIO interface {
	// SendRenewal sends a renewal to a member.
	SendRenewal(to Member, r Renewal)
	// Append adds a record to a stream of the platform's log.
	Append(stream StreamName, rec Record)
	// Fetch asks a daemon for log records.
	Fetch(to Address, f Fetch)
	// Order sends an order to an engine, unless until has passed.
	Order(e Endpoint, o Order, until Instant)
	// ReadReport requests an engine's report.
	ReadReport(e Endpoint)
	// RequestLoads requests load permits from the owner of a store's budget.
	RequestLoads(to Member, g Grant)
	// SendSuspects reports the suspects of a crash to other daemons.
	SendSuspects(to []Member, crash Sequence, list []Suspect)
}
