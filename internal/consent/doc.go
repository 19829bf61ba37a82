// Package consent asks the other daemons before this one resets open flows whose callers have sent it nothing.
//
// A daemon's record of a flow shows only the packets that this daemon received. The routers move flows, so the caller may
// have sent many more through another daemon, and a reset with the recorded number would be out of the caller's window.
// A daemon that answers promises to forward no packet of these flows for YieldTime. Once all have answered, the asker knows
// the last packet of the flow that any daemon forwarded.
//
// Engine makes the decisions: events are passed in with their time. It uses no socket, clock or goroutine.
//
// The routers send the packets of a caller to daemons of its zone, so all daemons of the zone have to answer. Those of other
// zones get packets only if no daemon of the zone is ready or the caller moves. They are asked too where they are known, but a
// zone that is cut off must not keep callers from learning that a target has failed.
//
// Invariant: a flow is confirmed only if every other daemon of the zone has answered within AnswerTimeout, and each daemon that
// has answered has kept records since before the asker's last packet and shows no later one.
package consent
