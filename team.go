package wick

import "errors"

// TeamName names a team: the callers that share access keys and an allotment.
type TeamName string

// KeyHash is the SHA-256 hash of an access key. Decoded configurations and requests
// contain only hashes, so that no key reaches a log line or a state dump, and so that
// the time of a lookup does not depend on how much of a key is right.
type KeyHash [32]byte

// AllotmentUnit is what an allotment counts.
type AllotmentUnit uint8

// The units of allotments.
const (
	// UnitRequests counts requests.
	UnitRequests AllotmentUnit = iota
	// UnitTokens counts the prompt tokens of a request and the most output tokens that
	// it may have.
	UnitTokens
)

// Allotment limits what a team may send to all daemons together.
type Allotment struct {
	Unit AllotmentUnit
	// Rate is the number of units per second; 0 means no limit.
	Rate PerSecond
	// Burst is the number of units beyond Rate that may be sent at once; not negative.
	Burst float64
	// DefaultTokens is what a request without token counts counts as.
	DefaultTokens Tokens
}

// Units returns what a request with the given token counts counts as.
func (a Allotment) Units(prompt, output Tokens) float64 {
	switch {
	case a.Unit == UnitRequests:
		return 1
	case prompt == 0 && output == 0:
		return float64(a.DefaultTokens)
	}
	return float64(prompt) + float64(output)
}

// Team is a team of a configuration.
type Team struct {
	Name TeamName
	// Priority takes precedence over that of routes if it is not nil.
	Priority  *int
	Allotment Allotment
}

// Teams are the teams of a configuration.
type Teams struct {
	// ByName has every team, and ByKey the team of each key; a key has one team.
	ByName map[TeamName]*Team
	ByKey  map[KeyHash]*Team
}

// Credential is what a caller sent to identify itself.
type Credential struct {
	// Given is set if the caller sent a credential, and Valid if it is one access key.
	Given, Valid bool
	// Key is the hash of the key if Valid is set.
	Key KeyHash
	// Fields are the header fields with the credential. They are forwarded only if the
	// configuration has no teams.
	Fields []HeaderField
}

// The errors of Identify.
var (
	ErrNoKey      = errors.New("no access key")
	ErrBadKey     = errors.New("malformed access key")
	ErrUnknownKey = errors.New("unknown access key")
)

// Identify returns the team of a request, or nil for none: the configuration has no
// teams, or the route allows requests without a key. A key that is sent must be known
// on such a route too: it may have been withdrawn.
func (c *ServingConfig) Identify(route RouteConfig, k Credential) (*Team, error) {
	switch {
	case c.Teams == nil || !k.Given && route.AllowAnonymous:
		return nil, nil
	case !k.Given:
		return nil, ErrNoKey
	case !k.Valid:
		return nil, ErrBadKey
	}
	team := c.Teams.ByKey[k.Key]
	if team == nil {
		return nil, ErrUnknownKey
	}
	return team, nil
}
