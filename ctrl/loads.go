package ctrl

import (
	"cmp"
	"slices"
	"time"

	"currantwick"
	"currantwick/lease"
	"currantwick/limit"
	"currantwick/sched"
)

// lostLoadTimeout is how long a load whose order has an unknown outcome counts
// as in flight.
const lostLoadTimeout = 2 * time.Second

// budgets holds this daemon's part in the load budget of each weight store: the
// permissions for its own endpoints, and the budgets that it grants permissions
// from as their owner.
type budgets struct {
	stores map[wick.StoreName]*storeBudget
}

// storeBudget is this daemon's part in the load budget of one weight store.
type storeBudget struct {
	config wick.Store
	client *limit.Client
	budget *limit.Budget
	// owned is set while this daemon owns the store's budget and grants from
	// it.
	owned bool
	// recentViews are the views in which loads may have started that are still
	// in flight.
	recentViews *limit.RecentViews
	// pending are the loads that wait for permission.
	pending []*pendingLoad
	// permits are the permissions of loads that may start or are in flight.
	permits map[loadKey]limit.Permit
	// lost are the permissions of loads whose outcome is unknown, oldest first.
	lost []lostPermit
	// nextRequest is when the owner of the budget may be asked again.
	nextRequest wick.Instant
}

// loadKey identifies one load.
type loadKey struct {
	endpoint wick.EndpointName
	ref      wick.Ref
}

// pendingLoad is a load that waits for permission.
type pendingLoad struct {
	o       *owned
	request sched.RequestLoad
}

type lostPermit struct {
	permit    limit.Permit
	expiresAt wick.Instant
}

func newBudgets() budgets { return budgets{stores: make(map[wick.StoreName]*storeBudget)} }

// reconcileStores updates the budgets to match the configuration. A store whose
// limits change starts with a new budget, as if all loads in flight had ended.
func (s *state) reconcileStores(now wick.Instant) {
	seen := make(map[wick.StoreName]bool)
	for c := range s.conf.Table().Stores() {
		seen[c.Name] = true
		if st := s.budgets.stores[c.Name]; st != nil && st.config == c {
			continue
		}
		s.budgets.stores[c.Name] = s.newStore(now, c)
	}
	for name := range s.budgets.stores {
		if !seen[name] {
			delete(s.budgets.stores, name)
		}
	}
}

func (s *state) newStore(now wick.Instant, c wick.Store) *storeBudget {
	self := s.cfg.Lease.Self
	cfg := limit.StoreConfig{Store: c}
	st := &storeBudget{
		config:      c,
		client:      limit.NewClient(cfg, self.Host, self.Incarnation),
		budget:      limit.NewBudget(cfg),
		recentViews: limit.NewRecentViews(cfg),
		permits:     make(map[loadKey]limit.Permit),
	}
	if old := s.budgets.stores[c.Name]; old != nil {
		st.pending = old.pending
	}
	s.updateStore(now, st)
	return st
}

// updateStore acquires or gives up ownership of a budget, and sets the static
// share, according to the views.
func (s *state) updateStore(now wick.Instant, st *storeBudget) {
	views := st.recentViews.Update(now, append(slices.Clone(s.keeper.State().Open), s.keeper.View()))
	_, acts := s.keeper.MayAct(now, lease.StoreKey(st.config.Name))
	switch {
	case acts && st.owned:
		st.budget.TakeOwnership(now, s.keeper.View().Number, nil)
	case acts:
		var members []wick.Member
		for _, v := range views {
			members = append(members, v.Members...)
		}
		st.budget.TakeOwnership(now, s.keeper.View().Number, members)
	case !acts && st.owned:
		st.budget.DropOwnership()
	}
	st.owned = acts
	shares := make([]limit.Share, 0, len(views))
	for _, v := range views {
		rank := slices.Index(v.Members, s.cfg.Lease.Self)
		shares = append(shares, limit.StaticShare(st.config, rank, len(v.Members)))
	}
	st.client.SetStatic(now, limit.MinShare(shares...))
}

// storeOf returns the store that an endpoint loads from.
func (s *state) storeOf(o *owned) *storeBudget {
	pool, ok := s.conf.Table().Pool(o.endpoint.Pool)
	if !ok {
		return nil
	}
	return s.budgets.stores[pool.Store]
}

// queueLoad queues an endpoint's request to load an adapter, or updates it if
// it is queued already.
func (s *state) queueLoad(o *owned, w sched.RequestLoad) {
	st := s.storeOf(o)
	if st == nil {
		return
	}
	s.loadQueued = true
	for _, a := range st.pending {
		if a.o == o && a.request.Ref == w.Ref {
			a.request = w
			return
		}
	}
	st.pending = append(st.pending, &pendingLoad{o, w})
}

// withdrawLoad withdraws a queued load, or releases its permission if it was
// not used.
func (s *state) withdrawLoad(o *owned, ref wick.Ref) {
	st := s.storeOf(o)
	if st == nil {
		return
	}
	st.pending = slices.DeleteFunc(st.pending, func(a *pendingLoad) bool { return a.o == o && a.request.Ref == ref })
	st.release(loadKey{o.endpoint.Name, ref})
}

// loadEnded releases the permission of a load whose order has ended. If the
// outcome is unknown, the permission is kept for lostLoadTimeout.
func (s *state) loadEnded(now wick.Instant, o *owned, ord wick.Order, fail *wick.Error) {
	st := s.storeOf(o)
	if st == nil || ord.Kind != wick.OrderLoad {
		return
	}
	key := loadKey{o.endpoint.Name, ord.Ref}
	if fail == nil || fail.Outcome == wick.NotRun {
		st.release(key)
		return
	}
	if p, ok := st.permits[key]; ok {
		delete(st.permits, key)
		st.lost = append(st.lost, lostPermit{p, now.Add(lostLoadTimeout)})
	}
}

func (st *storeBudget) release(key loadKey) {
	if p, ok := st.permits[key]; ok {
		delete(st.permits, key)
		st.client.Release(p)
	}
}

// startLoads starts queued loads, those with the most waiting work first, as
// far as the budget allows.
func (s *state) startLoads(now wick.Instant, st *storeBudget) {
	slices.SortStableFunc(st.pending, func(a, b *pendingLoad) int { return cmp.Compare(b.request.Waiting, a.request.Waiting) })
	for len(st.pending) > 0 {
		permit := st.client.Acquire(now)
		if permit == limit.PermitNone {
			return
		}
		a := st.pending[0]
		st.pending = st.pending[1:]
		st.permits[loadKey{a.o.endpoint.Name, a.request.Ref}] = permit
		s.perform(now, a.o, a.o.sched.Granted(now, a.request.Ref))
	}
}

// demand returns the loads and prefetches for which this daemon wants
// permission.
func (st *storeBudget) demand() limit.Demand {
	var w limit.Demand
	for _, a := range st.pending {
		if a.request.Waiting > 0 {
			w.Loads++
			w.Cost += a.request.Waiting
		} else {
			w.Prefetch++
		}
	}
	return w
}

// updateLoads releases the permissions of lost loads after lostLoadTimeout,
// requests permissions, and starts the loads that are permitted.
func (s *state) updateLoads(now wick.Instant) {
	for _, st := range s.budgets.stores {
		for len(st.lost) > 0 && now >= st.lost[0].expiresAt {
			st.client.Release(st.lost[0].permit)
			st.lost = st.lost[1:]
		}
		s.updateStore(now, st)
		s.requestPermits(now, st)
		s.startLoads(now, st)
	}
}

// requestPermits requests permissions from the owner of the budget, if that is
// due.
func (s *state) requestPermits(now wick.Instant, st *storeBudget) {
	if now < st.nextRequest {
		return
	}
	owner, ok := s.keeper.Owner(lease.StoreKey(st.config.Name))
	if !ok {
		return
	}
	st.nextRequest = now.Add(st.client.Interval(len(s.keeper.View().Members)))
	g, ok := st.client.Request(now, s.keeper.View().Number, owner, st.demand())
	if !ok {
		return
	}
	if owner.Host != s.cfg.Lease.Self.Host {
		s.out.RequestLoads(owner, g)
		return
	}
	if got, ok := st.answer(now, g); ok {
		st.client.HandleGrant(got)
	} else {
		st.client.RequestFailed()
	}
}

func (st *storeBudget) answer(now wick.Instant, g wick.Grant) (wick.Grant, bool) {
	if !st.owned {
		return wick.Grant{}, false
	}
	return st.budget.HandleRequest(now, g)
}

// apply implements Event.
func (e LoadsRequested) apply(s *state, now wick.Instant) {
	st := s.budgets.stores[e.Grant.Store]
	if st == nil {
		e.Reply <- wick.Grant{Store: e.Grant.Store}
		return
	}
	s.updateStore(now, st)
	got, ok := st.answer(now, e.Grant)
	if !ok {
		got = wick.Grant{Store: e.Grant.Store}
	}
	e.Reply <- got
}

// apply implements Event.
func (e LoadsGranted) apply(s *state, now wick.Instant) {
	st := s.budgets.stores[e.Grant.Store]
	if st == nil {
		return
	}
	if e.Err != nil || e.Grant.Sequence == 0 {
		st.client.RequestFailed()
		return
	}
	st.client.HandleGrant(e.Grant)
	s.startLoads(now, st)
}
