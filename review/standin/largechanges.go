//go:build review

package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// largeChanges: manifests of a grown deployment come in quick succession, the last one moves a route to another service,
// and right after its acknowledgement the processes of all daemons are killed and start again. The store is well all the
// while; reads that accept an older state are some seconds old.
func largeChanges(w *world) {
	const (
		// 240 routes without traffic and big_config with 1,400 more.
		furtherRoutes = 240 + 1400
		// config_storm: for_s 2.0, gap_s 0.08.
		changes  = 25
		gap      = 80 * time.Millisecond
		staleBy  = 4 * time.Second
		downTime = 300 * time.Millisecond
		apply    = 5 * time.Second
		touch    = 5 * time.Second
	)
	address := netip.AddrPortFrom(w.ip(200, 1), 443)
	text := func(version int, service string) []byte {
		routes := []route{{"r-hold", address.Addr().String(), "443", "unsafe", service}}
		for i := range furtherRoutes {
			kind := "safe"
			if i == version%furtherRoutes {
				kind = "download" // what a change of the storm changes
			}
			routes = append(routes, route{fmt.Sprintf("r-idle%03d", i), w.ip(201+i/250, 1+i%250).String(), "8443", kind, "north"})
		}
		return manifest(version, 2000, routes, "north", "south")
	}
	first := text(7, "north")
	w.note("a manifest has %d routes and %d bytes", furtherRoutes+1, len(first))
	w.store.put("op/config", first)
	w.newTarget("i-7f3a91c2", 0x7f3a91c2, "north", "zone-a", netip.AddrPortFrom(w.ip(100, 1), 8080), 2000)
	w.newTarget("i-51b0c7d4", 0x51b0c7d4, "south", "zone-a", netip.AddrPortFrom(w.ip(100, 2), 8080), 2000)
	for i, zone := range []string{"zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-b", "zone-c", "zone-c"} {
		w.addDaemon(fmt.Sprintf("entry-%d", i+1), zone, w.ip(2, 10+i))
	}
	w.startAll()
	time.Sleep(6 * time.Second)

	c := w.newCaller(w.ip(50, 1))
	version := 7
	w.store.setLag(staleBy)
	for i := range changes {
		began := time.Now()
		version += 2
		if i < changes-1 {
			w.store.put("op/config", text(version, "north"))
			time.Sleep(time.Until(began.Add(gap)))
		}
	}
	acked := w.store.put("op/config", text(version, "south"))
	w.note("the store acknowledged version %d, the last of %d: %v is sent to south", version, changes, address)
	from := acked.Add(apply)
	if w.trouble {
		time.Sleep(50 * time.Millisecond)
		for _, d := range w.daemons {
			d.kill()
		}
		w.note("the processes of all daemons are killed")
		time.Sleep(downTime)
		w.startAll()
		if inTouch := time.Now().Add(touch); inTouch.After(from) {
			from = inTouch
		}
	}
	var mu sync.Mutex
	stale, now := 0, 0
	var last time.Duration
	staleAt := make(map[string]bool)
	for end := acked.Add(30 * time.Second); time.Now().Before(end) && now < 40; time.Sleep(500 * time.Millisecond) {
		var wait sync.WaitGroup
		for _, d := range w.daemons {
			wait.Add(1)
			go func() {
				defer wait.Done()
				sent := time.Now()
				a := c.open(address, fixed(d))
				body := a.request(time.Second)
				a.close()
				w.note("a flow sent through %s %.1f s after the acknowledgement: %s, run by %q", d.name, sent.Sub(acked).Seconds(), a.outcome, body)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case !sent.After(from.Add(200 * time.Millisecond)):
				case body == "north":
					stale++
					staleAt[d.name] = true
					last = max(last, sent.Sub(acked))
				case body == "south":
					now++
				}
			}()
		}
		wait.Wait()
	}
	if stale > 0 {
		w.finish(true, "CONFIG broken: %d flows through %d of %d daemons, sent later than %v after the acknowledgement of version %d, were run by north, the last %.1f s after it", stale, len(staleAt), len(w.daemons), apply, version, last.Seconds())
	}
	w.finish(now == 0, "CONFIG %s: %d flows after the bound were run by south", map[bool]string{true: "not shown", false: "held"}[now == 0], now)
}
