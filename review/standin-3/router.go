//go:build review

package main

import (
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"time"
)

const (
	checkInterval = 500 * time.Millisecond
	checkTimeout  = 400 * time.Millisecond
	maxMisses     = 2
)

// routers are the platform's routers of the clients' zone. They hash by steady. Their methods need the world's lock.
type routers struct {
	w       *world
	daemons []*daemon
	http    *http.Client
}

func newRouters(w *world) *routers {
	return &routers{w: w, http: &http.Client{Timeout: checkTimeout, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}}
}

// check checks a daemon's readiness twice per second.
func (r *routers) check(d *daemon) {
	for at := range time.Tick(checkInterval) {
		ok := r.ready(d)
		r.w.locked(func(now time.Time) {
			d.checkedAt = at
			d.misses++
			if ok {
				d.misses = 0
			}
			inRotation := ok || d.inRotation && d.misses < maxMisses
			if inRotation != d.inRotation {
				d.inRotation = inRotation
				r.w.judge.note(now, "routers: %s in rotation: %v", d.name, inRotation)
			}
		})
	}
}

// ready reports whether a daemon answers that it is ready.
func (r *routers) ready(d *daemon) bool {
	resp, err := r.http.Get("http://" + r.w.at(netDaemons, d.n, r.w.ports.ready).String() + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// choose returns the address of the daemon that gets the packets of a flow.
func (r *routers) choose(k ends) (netip.AddrPort, bool) {
	in := 0
	for _, d := range r.daemons {
		if d.inRotation {
			in++
		}
	}
	useAll := 2*in < len(r.daemons)
	var best *daemon
	var highest uint64
	for _, d := range r.daemons {
		if !d.inRotation && !useAll {
			continue
		}
		h := fnv.New64a()
		var b [13]byte
		putAddress(b[:], k.client)
		putAddress(b[6:], k.route)
		b[12] = byte(d.n)
		_, _ = h.Write(b[:])
		weight := (h.Sum64() ^ h.Sum64()>>29) * 0x9e3779b97f4a7c15
		if best == nil || weight > highest {
			best, highest = d, weight
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	return r.w.at(netDaemons, best.n, r.w.ports.data), true
}
