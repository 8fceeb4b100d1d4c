package wick

// CloseCause is why a daemon closed a connection that it had accepted, or refused it.
type CloseCause string

// The causes of closed connections.
const (
	// CloseFull is a connection closed to make room for another one, or refused since
	// none could be closed.
	CloseFull CloseCause = "Full"
	// CloseMemory is a connection closed for want of memory.
	CloseMemory CloseCause = "Memory"
	// CloseHead is a connection on which a request's head took too long.
	CloseHead CloseCause = "Head"
	// CloseIdle is a connection that was idle for too long.
	CloseIdle CloseCause = "Idle"
	// CloseBody is a connection on which a request's body came too slowly.
	CloseBody CloseCause = "Body"
	// CloseAnswer is a connection whose remote end did not read an answer.
	CloseAnswer CloseCause = "Answer"
)

// CloseCauses lists all causes.
var CloseCauses = []CloseCause{CloseFull, CloseMemory, CloseHead, CloseIdle, CloseBody, CloseAnswer}

// ConnObserver observes connections that daemons accept. Implementations are safe for
// concurrent use and never block.
type ConnObserver interface {
	// ConnectionClosed records that a connection to the named listener was closed for a
	// cause.
	ConnectionClosed(listener string, cause CloseCause)
}
