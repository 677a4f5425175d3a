package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// cancelTime is cancel_ms, contactTime is ContactMs and resendTime is ResendMs.
	cancelTime  = 3 * time.Second
	contactTime = 3 * time.Second
	resendTime  = 1300 * time.Millisecond
	// jobWait is how long the client of the cancelled job waits.
	jobWait = 8 * time.Second
)

// newCancelCluster starts two instances in zone a and one in zone b, with two workers in
// each zone.
func newCancelCluster(rec *record) (*cluster, error) {
	c, err := newCluster(rec, "a", "b")
	if err != nil {
		return nil, err
	}
	for _, w := range []struct{ id, zone string }{{"i-a1", "a"}, {"i-a2", "a"}, {"i-b1", "b"}, {"i-b2", "b"}} {
		if err := c.addWorker(w.id, w.zone, "a"); err != nil {
			return c, err
		}
	}
	for _, in := range []struct{ name, zone string }{{"a-1", "a"}, {"a-2", "a"}, {"b-1", "b"}} {
		if err := c.addInstance(in.name, in.zone); err != nil {
			return c, err
		}
	}
	if err := c.awaitServing(); err != nil {
		return c, err
	}
	// The shards of zone b are its own instance's.
	if !within(10*time.Second, func() bool { return c.ownsZone("b-1", "b") }) {
		return c, fmt.Errorf("%w: b-1 does not hold the shards of zone b", errSetup)
	}
	time.Sleep(time.Second)
	return c, nil
}

// cancelInFlight hands in a job at an instance, cancels it there once it runs, and
// returns when that was acknowledged.
func (c *cluster) cancelInFlight(in *instance, id string, job map[string]any) (time.Time, error) {
	result := c.postInBackground(in, id, job, jobWait)
	if !within(2*time.Second, func() bool { return len(c.starts(id)) > 0 }) {
		return time.Time{}, fmt.Errorf("%w: the job does not run", errSetup)
	}
	time.Sleep(200 * time.Millisecond)
	a := c.cancel(in, id)
	if a.err != nil || a.status != http.StatusOK && a.status != http.StatusGone {
		return time.Time{}, fmt.Errorf("%w: the cancellation gets %s", errSetup, a)
	}
	if r := <-result; r.err == nil && r.status != http.StatusBadGateway && r.status != http.StatusGatewayTimeout {
		return time.Time{}, fmt.Errorf("%w: the client does not send the job again after %s", errSetup, r)
	}
	return a.at, nil
}

// checkCancelled returns errBroken if a task of the job starts later than cancelTime
// after the acknowledgement, while all machines are in touch.
func (c *cluster) checkCancelled(id string, acknowledged, inTouch time.Time) error {
	broken := 0
	for _, s := range c.starts(id) {
		if s.at.After(acknowledged.Add(cancelTime)) && s.at.After(inTouch) {
			broken++
			c.rec.add("UNASKED: task %s started at %.3f, %.3f s after the acknowledgement of its job's cancelling; all machines are in touch since %.3f",
				s.task, c.rec.since(s.at), s.at.Sub(acknowledged).Seconds(), c.rec.since(inTouch))
		}
	}
	if broken > 0 {
		return errBroken
	}
	return nil
}

// ownsZone reports whether an instance holds all claimed shards of a zone.
func (c *cluster) ownsZone(name, zone string) bool {
	n := 0
	for _, key := range c.store.keys("marigoldfront/shards/" + service + "/" + zone + "/") {
		if holder(c.store.value(key)) != name {
			return false
		}
		n++
	}
	return n == 12
}

// lostRegistration: instance b-1 is cut off from the store for some seconds. A job is
// cancelled at a-1, where it is in flight; a copy of it arrives at b-1 afterwards.
func lostRegistration(rec *record, trouble bool) error {
	c, err := newCancelCluster(rec)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return err
	}
	cut := c.instances["b-1"]
	begun := time.Now()
	if trouble {
		cut.cutStore(true)
		if !within(4*time.Second, func() bool { return !c.registered("b-1") }) {
			return fmt.Errorf("%w: the registration of b-1 stays", errSetup)
		}
	}
	time.Sleep(300 * time.Millisecond)
	id := newID()
	acknowledged, err := c.cancelInFlight(c.instances["a-1"], id, chain("800", 7, 1))
	if err != nil {
		return err
	}
	healed := begun
	if trouble {
		cut.cutStore(false)
		healed = time.Now()
		rec.add("the cut has lasted for %.3f s", healed.Sub(begun).Seconds())
		if !within(2*time.Second, func() bool { return c.registered("b-1") }) {
			return fmt.Errorf("%w: b-1 does not register again", errSetup)
		}
	}
	time.Sleep(time.Until(acknowledged.Add(resendTime + 50*time.Millisecond)))
	// The client has got 502 and sends the job again, at another node.
	c.post(cut, id, chain("800", 7, 1), jobWait)
	time.Sleep(300 * time.Millisecond)
	return c.checkCancelled(id, acknowledged, healed.Add(contactTime))
}

// isolatedHolder: zone b, with instance b-1, is partitioned from the other zones and from
// the platform. A job is cancelled at b-1, where it is in flight; it is sent again in zone a.
func isolatedHolder(rec *record, trouble bool) error {
	c, err := newCancelCluster(rec)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return err
	}
	cut := c.instances["b-1"]
	begun := time.Now()
	if trouble {
		c.cutZone("b", true)
	}
	time.Sleep(300 * time.Millisecond)
	id := newID()
	acknowledged, err := c.cancelInFlight(cut, id, chain("500", 12, 1))
	if err != nil {
		return err
	}
	time.Sleep(time.Until(acknowledged.Add(resendTime + 50*time.Millisecond)))
	result := c.postInBackground(c.instances["a-1"], id, chain("500", 12, 1), jobWait)
	if trouble {
		time.Sleep(time.Until(begun.Add(5400 * time.Millisecond)))
		c.cutZone("b", false)
		rec.add("the cut has lasted for %.3f s", time.Since(begun).Seconds())
	}
	<-result
	time.Sleep(300 * time.Millisecond)
	return c.checkCancelled(id, acknowledged, begun)
}

// lossOfAll: a job is cancelled where it is in flight. Then all instances are killed, and
// started again. The client sends the job again at the same node until it gets a response.
func lossOfAll(rec *record, trouble bool) error {
	const (
		killAfter = 500 * time.Millisecond
		downTime  = time.Second
	)
	c, err := newCancelCluster(rec)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return err
	}
	id := newID()
	acknowledged, err := c.cancelInFlight(c.instances["a-1"], id, chain("500", 14, 1))
	if err != nil {
		return err
	}
	inTouch := acknowledged
	if trouble {
		time.Sleep(time.Until(acknowledged.Add(killAfter)))
		for _, in := range c.instances {
			in.kill()
		}
		time.Sleep(downTime)
		for _, in := range c.instances {
			if err := in.launch(); err != nil {
				return err
			}
		}
		inTouch = time.Now().Add(contactTime)
	}
	at := acknowledged
	for range 3 {
		at = at.Add(resendTime + 50*time.Millisecond)
		time.Sleep(time.Until(at))
		a := c.post(c.instances["a-2"], id, chain("500", 14, 1), jobWait)
		if a.err == nil && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
			break
		}
		at = a.at
	}
	time.Sleep(300 * time.Millisecond)
	return c.checkCancelled(id, acknowledged, inTouch)
}
