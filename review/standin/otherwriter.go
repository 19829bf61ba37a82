//go:build review

package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// otherWriter: another writer writes the entry of a target of service south, without the fields that it does not know, and
// with the service that the machine had before. The target writes its own entry again with each heartbeat.
func otherWriter(w *world) {
	const heartbeats = 5
	address := netip.AddrPortFrom(w.ip(200, 1), 443)
	files := netip.AddrPortFrom(w.ip(200, 2), 443)
	w.store.put("op/config", manifest(7, 2000, []route{
		{"r-hold", address.Addr().String(), "443", "unsafe", "north"},
		{"r-file", files.Addr().String(), "443", "download", "south"},
	}, "north", "south"))
	w.newTarget("i-7f3a91c2", 0x7f3a91c2, "north", "zone-a", netip.AddrPortFrom(w.ip(100, 1), 8080), 2000)
	w.newTarget("i-19c4e0b7", 0x19c4e0b7, "north", "zone-a", netip.AddrPortFrom(w.ip(100, 2), 8080), 2000)
	south := w.newTarget("i-51b0c7d4", 0x51b0c7d4, "south", "zone-a", netip.AddrPortFrom(w.ip(100, 3), 8080), 2000)
	for i, zone := range []string{"zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-b", "zone-c", "zone-c"} {
		w.addDaemon(fmt.Sprintf("entry-%d", i+1), zone, w.ip(2, 10+i))
	}
	w.startAll()
	time.Sleep(6 * time.Second)

	if w.trouble {
		go func() {
			for range heartbeats {
				value := mustJSON(map[string]any{"service": "north", "address": south.addr.String(), "zone": "zone-a", "slots": 3, "state": "ready"})
				w.store.put("servers/"+south.id, value)
				w.note("another writer writes servers/%s: %s", south.id, value)
				time.Sleep(heartbeat)
			}
		}()
	}
	c := w.newCaller(w.ip(50, 1))
	var wait sync.WaitGroup
	var mu sync.Mutex
	runs := make(map[string]int)
	for end := time.Now().Add(heartbeats * heartbeat); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		d := w.daemons[int(time.Now().UnixNano()/1000)%len(w.daemons)]
		wait.Add(1)
		go func() {
			defer wait.Done()
			a := c.open(address, fixed(d))
			body := a.request(2 * time.Second)
			w.note("a request on the route to north through %s: %s, run by %q", d.name, a.outcome, body)
			time.Sleep(300 * time.Millisecond)
			a.close()
			mu.Lock()
			defer mu.Unlock()
			runs[body]++
		}()
	}
	wait.Wait()
	if runs["south"] > 0 {
		w.finish(true, "ROUTE broken: %d of %d requests on a route to north were run by a target of south, to which no manifest ever sent them", runs["south"], runs["south"]+runs["north"])
	}
	w.finish(runs["north"] == 0, "ROUTE held: %d requests were run by north", runs["north"])
}
