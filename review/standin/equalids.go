//go:build review

package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// equalIDs: callers have open flows with requests in progress at a target of service north. Service south is scaled out, as
// planned, by a target whose id has the same 32-bit hash. Nothing fails.
func equalIDs(w *world) {
	const (
		oldID, oldGuard = "i-abcc5ae6", 0xabcc5ae6
		newID, newGuard = "i-df5885ba", 0xdf5885ba
		otherID, other  = "i-df5885bb", 0xdf5885bb
		callers         = 24
	)
	address := netip.AddrPortFrom(w.ip(200, 1), 443)
	files := netip.AddrPortFrom(w.ip(200, 2), 443)
	w.store.put("op/config", manifest(7, 2000, []route{
		{"r-hold", address.Addr().String(), "443", "unsafe", "north"},
		{"r-file", files.Addr().String(), "443", "download", "south"},
	}, "north", "south"))
	old := w.newTarget(oldID, oldGuard, "north", "zone-a", netip.AddrPortFrom(w.ip(100, 1), 8080), 2000)
	w.newTarget("i-7f3a91c2", 0x7f3a91c2, "north", "zone-a", netip.AddrPortFrom(w.ip(100, 2), 8080), 2000)
	for i, guard := range []uint64{0x51b0c7d4, 0x0c6e19a3, 0x83d2f750, 0x2a9b44e8} {
		w.newTarget(fmt.Sprintf("i-%08x", guard), guard, "south", "zone-a", netip.AddrPortFrom(w.ip(100, 10+i), 8080), 2000)
	}
	for i, zone := range []string{"zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-b", "zone-c", "zone-c"} {
		w.addDaemon(fmt.Sprintf("entry-%d", i+1), zone, w.ip(2, 10+i))
	}
	w.startAll()
	time.Sleep(3 * time.Second)

	c := w.newCaller(w.ip(50, 1))
	var flows []*attempt
	for i := range callers {
		a := c.open(address, fixed(w.daemons[i%len(w.daemons)]))
		if a.request(time.Second) != "north" {
			couldNotRun("flow %d: %s", i, a.outcome)
		}
		flows = append(flows, a)
	}
	atOld := make(map[netip.AddrPort]bool)
	old.mu.Lock()
	for _, k := range old.taken {
		atOld[k.Caller] = true
	}
	old.work = 1500 * time.Millisecond
	old.mu.Unlock()
	w.note("%d of %d open flows are at %s", len(atOld), callers, oldID)

	time.Sleep(5 * time.Second)
	var wait sync.WaitGroup
	var mu sync.Mutex
	resets, answered := 0, 0
	for _, a := range flows {
		if !atOld[a.self] {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			body := a.request(4 * time.Second)
			w.note("%v: its request on an open flow ended with %q", a.self, body)
			mu.Lock()
			defer mu.Unlock()
			switch body {
			case "north":
				answered++
			case "reset":
				resets++
			}
		}()
	}
	time.Sleep(100 * time.Millisecond)
	id, guard := newID, uint64(newGuard)
	if !w.trouble {
		id, guard = otherID, other
	}
	added := w.newTarget(id, guard, "south", "zone-a", netip.AddrPortFrom(w.ip(100, 4), 8080), 2000)
	w.note("target %s of service south is added", id)
	wait.Wait()

	added.mu.Lock()
	defer added.mu.Unlock()
	old.mu.Lock()
	defer old.mu.Unlock()
	w.note("%s sent %d resets, %s sent %d", oldID, old.resets, id, added.resets)
	if resets > 0 && old.resets == 0 {
		w.finish(true, "FLOW broken: %d of %d callers with a request in progress at %s got a reset that it did not send; %s of another service got packets of their flows", resets, len(atOld), oldID, id)
	}
	w.finish(false, "FLOW held: %d of %d requests on open flows were answered", answered, len(atOld))
}
