package trial

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// leaseTime is the time within which no two holders give orders to one runner.
	leaseTime = 3 * time.Second
	// leaseRunners are the runners, with leasePlaces adapters each, and leaseAdapters the
	// adapters that are asked for.
	leaseRunners, leasePlaces, leaseAdapters = 12, 4, 150
	// claimTime is the time in which the successor claims its shards.
	claimTime = 400 * time.Millisecond
)

// leaseWait kills the holder of a shard, and then its successor as it has claimed the
// shard. The successor is started again. Runners do not check fencing tokens.
func leaseWait(d *deployment) (bool, error) {
	d.unfenced = true
	var runners []*runner
	for i := range leaseRunners {
		r := newRunner(d, i, "llm", 32, leasePlaces)
		r.quiet = true
		r.answer = streamEvents
		runners = append(runners, r)
	}
	config := strings.Replace(stopConfig, `"adapterSlots":2`, fmt.Sprintf(`"adapterSlots":%d`, leasePlaces), 1)
	if err := d.start(config, runners, 2); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i, p := range d.daemons {
		for k := range 10 {
			group.Go(func() { d.draftOn(p, i*16+k, stop) })
		}
	}
	time.Sleep(6 * time.Second)
	if d.trouble {
		first, second := d.daemons[0], d.daemons[1]
		d.notef("SIGKILL to %s, which stays down", first.name)
		_ = first.cmd.Process.Kill()
		claimed := d.store.waitFor("term/", `"`+second.name+`"`, 5*time.Second)
		if !claimed {
			return false, fmt.Errorf("%s claimed no shard", second.name)
		}
		time.Sleep(claimTime)
		d.notef("SIGKILL to %s", second.name)
		_ = second.cmd.Process.Kill()
		<-second.exited
		time.AfterFunc(restartDelay, func() { _ = d.run(second) })
	}
	time.Sleep(6 * time.Second)
	close(stop)
	group.Wait()
	broken := 0
	for _, r := range runners {
		r.mu.Lock()
		for i := 1; i < len(r.orders); i++ {
			a, b := r.orders[i-1], r.orders[i]
			if a.holder != b.holder && b.at.Sub(a.at) < leaseTime {
				broken++
				d.notef("%s: order of %s with token %d, then of %s with token %d, %d ms later", r.name, a.holder, a.token, b.holder, b.token, b.at.Sub(a.at).Milliseconds())
			}
		}
		d.notef("%s got %d orders", r.name, len(r.orders))
		r.mu.Unlock()
	}
	return broken > 0, nil
}

// waitFor waits for an append to the daemons' topic from now on with a key that begins
// with a prefix and a value that contains a text.
func (s *store) waitFor(prefix, value string, within time.Duration) bool {
	before, _ := s.from(topicDaemons, 0)
	next := len(before)
	for timer := time.After(within); ; {
		list, appended := s.from(topicDaemons, next)
		for _, r := range list {
			if strings.HasPrefix(r.key, prefix) && strings.Contains(string(r.value), value) {
				return true
			}
		}
		next += len(list)
		select {
		case <-appended:
		case <-timer:
			return false
		}
	}
}

// draftOn asks for one adapter after the other until stop is closed.
func (d *deployment) draftOn(p *daemon, client int, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(sendTime):
		}
		c, err := d.openChannel(p, fmt.Sprintf("%08x%08x", 0xe000+client, n))
		if err != nil {
			continue // The daemon is down.
		}
		c.quiet = true
		_ = c.exchange("short", fmt.Sprintf("base/a%d", (client*7+n*11)%leaseAdapters), "") // Its answer is not judged.
		c.conn.Close()
	}
}
