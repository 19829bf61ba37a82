//go:build review

// Command standin-2 runs the cases of the second review that are scripts. It starts daemons with the command of the deploy
// file on loopback addresses, plays the platform's store, its routers, targets and clients as the users' pages describe
// them, and checks one rule from what clients and targets see.
//
//	standin-2 CASE DIRECTORY
//
// It writes DIRECTORY/record.txt and ends with exit code 1 if the rule was broken, 0 if it held and 2 if the case could
// not run. With TROUBLE=0 in the environment it does the same without the disruption.
package main
