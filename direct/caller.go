package direct

import (
	"errors"

	"currantwick"
	"currantwick/coord"
)

// identify finds out the team of the request. A daemon that may not have the newest
// configuration refuses a key that it does not know as not run, so that the caller can
// come back: the key may just have been added. Where withdrawn keys must stop being
// accepted everywhere, it refuses keys that it knows as well.
func (t *task) identify(v *coord.View, now wick.Instant) error {
	team, err := v.ServingConfig.Identify(t.route, t.exchange.Credential)
	if team != nil {
		t.team, t.allotment = team.Name, team.Allotment
	}
	age := now.Sub(v.ConfigCurrentAt)
	if v.ConfigCurrentAt < 0 {
		age = now.Sub(0)
	}
	bounds := t.server.cfg.Bounds
	outdated := age > bounds.ChangeDeadline.Std()
	expired := bounds.RevocationDeadline > 0 && age > bounds.RevocationDeadline.Std()
	switch {
	case errors.Is(err, wick.ErrUnknownKey) && outdated, err == nil && team != nil && expired:
		return t.refuse(wick.CodeStale, "configuration %d was last confirmed %d ms ago", v.ServingConfig.Version, age.Milliseconds())
	case err != nil:
		return wick.NotRunf(wick.CodeUnauthorized, "%v on route %s", err, t.route.Name)
	}
	t.forwardCredential = v.ServingConfig.Teams == nil
	t.urgency = urgencyOf(t.route, team)
	return nil
}

// urgencyOf returns the urgency of a request: the priority of its team, if it has one,
// takes precedence over that of its route.
func urgencyOf(route wick.RouteConfig, team *wick.Team) wick.Urgency {
	priority := route.Priority
	if team != nil && team.Priority != nil {
		priority = *team.Priority
	}
	return wick.Urgency(min(baseUrgency+max(priority, 0), maxUrgency))
}
