//go:build review

package main

import (
	"errors"
	"net/netip"
	"time"
)

var errNotReady = errors.New("the daemons are not in rotation in time")

// startDeployment starts daemons, two or three in each zone, and waits until the routers use them.
func (w *world) startDeployment(temp string) error {
	for i, zone := range zones {
		for range 2 + (1-i+1)/2 {
			w.addDaemon(zone, temp)
		}
	}
	for _, d := range w.daemons {
		if err := d.writeSettings(); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
		go d.checkReadiness()
	}
	if !w.runUntil(10*time.Second, w.allRotated) {
		return errNotReady
	}
	return nil
}

func (w *world) allRotated() bool {
	for _, d := range w.daemons {
		if !d.rotated {
			return false
		}
	}
	return true
}

// lateReset restarts two daemons in turn as planned, so that their flows pass another one for a second, and crashes a target
// some seconds after they are back. The rule: what the system sends a client is no reset unless its number is near the client's
// last ack.
func lateReset(w *world, temp string) error {
	w.routes = []route{{Name: "r-feed", Host: "198.18.0.1", Prefix: "/8443/", Kind: "safe", Timeout: 3000, Goal: 250, Level: 2, Service: "booking"}}
	w.publish("booking")
	for i := range 8 {
		if _, err := w.startTarget(i+1, "booking", zones[i%len(zones)]); err != nil {
			return err
		}
	}
	if err := w.startDeployment(temp); err != nil {
		return err
	}
	for i := range 10 {
		c := &client{route: netip.MustParseAddrPort("198.18.0.1:8443"), streams: 12, pause: 600 * time.Millisecond, replyBytes: 24_000, fresh: 50 * time.Millisecond}
		w.mu.Lock()
		err := w.startClient(i+1, zones[0], c)
		w.mu.Unlock()
		if err != nil {
			return err
		}
	}
	w.run(6 * time.Second)
	for _, d := range w.daemons[:2] {
		if w.trouble {
			w.restartPlanned(d)
		}
		if !w.runUntil(15*time.Second, w.allRotated) {
			return errNotReady
		}
	}
	w.run(3 * time.Second)
	if w.trouble {
		w.mu.Lock()
		w.targets[0].crash(time.Now())
		w.mu.Unlock()
	}
	w.run(8 * time.Second)
	return nil
}

// restartPlanned stops a daemon and starts it again after its end.
func (w *world) restartPlanned(d *daemon) {
	d.terminate()
	w.runUntil(8*time.Second, func() bool { return !d.running() })
	w.log("%s has ended", d.name)
	w.run(500 * time.Millisecond)
	if err := d.start(); err != nil {
		w.log("restart: %v", err)
	}
}
