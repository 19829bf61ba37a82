//go:build review

// Command standin-3 plays the surroundings of a small deployment for the scripts of an independent review: the platform's
// store, targets, routers and clients. It starts daemons as processes on loopback addresses, restarts them, and checks the
// rule FLOW by what clients and targets see.
//
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	var o options
	flag.StringVar(&o.play, "case", "restarts", "what is played: restarts, outage or zonecut")
	flag.StringVar(&o.daemon, "daemon", "target/fireflypind", "the daemon's program")
	flag.StringVar(&o.dir, "dir", "", "folder for settings and logs")
	flag.StringVar(&o.record, "record", "record.txt", "file for what was sent, answered and run")
	flag.BoolVar(&o.trouble, "trouble", true, "play the disruptions")
	flag.Int64Var(&o.seed, "seed", time.Now().UnixNano(), "seed of clients and losses")
	flag.DurationVar(&o.length, "for", 88*time.Second, "length of the traffic")
	flag.IntVar(&o.flowsPerSecond, "rate", 800, "new flows a second")
	flag.Parse()
	broken, err := play(&o)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "standin-3:", err)
		os.Exit(exitFailed)
	case broken > 0:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// options are the command's options.
type options struct {
	play, daemon, dir, record string
	trouble                   bool
	seed                      int64
	length                    time.Duration
	flowsPerSecond            int
}
