// The observer of a flow's requests: what the packets of callers show of requests, responses and ends of flows.

package tags

import (
	"time"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/model"
)

// Observer is notified of events of flows, as far as callers' packets show them. Its methods are called on the packet
// path, from any number of goroutines: they must be safe for concurrent use, must not block and must not call the
// engine. Times have a resolution of 1 ms.
type Observer interface {
	// RequestSent reports that a caller sent the first packet of a request on a flow.
	RequestSent(now time.Time, f FlowEvent)
	// ResponseBegan reports that a caller acknowledged the first bytes of a response. after is the time since the
	// request was sent, and bytes the number of acknowledged bytes.
	ResponseBegan(now time.Time, f FlowEvent, after time.Duration, bytes uint32)
	// FlowEnded reports that a caller closed a flow, or that its record was removed.
	FlowEnded(now time.Time, f FlowEvent, end FlowEnd)
}

// Observers notifies several observers, in their order.
type Observers []Observer

// RequestSent implements Observer.
func (o Observers) RequestSent(now time.Time, f FlowEvent) {
	for _, observer := range o {
		observer.RequestSent(now, f)
	}
}

// ResponseBegan implements Observer.
func (o Observers) ResponseBegan(now time.Time, f FlowEvent, after time.Duration, bytes uint32) {
	for _, observer := range o {
		observer.ResponseBegan(now, f, after, bytes)
	}
}

// FlowEnded implements Observer.
func (o Observers) FlowEnded(now time.Time, f FlowEvent, end FlowEnd) {
	for _, observer := range o {
		observer.FlowEnded(now, f, end)
	}
}

// FlowEvent names the flow of an event.
type FlowEvent struct {
	Target model.TargetID
	// Caller and Address are the flow's two ends; Address is that of a route.
	Caller, Address flow.PackedAddrPort
	// Requests is the number of requests that this daemon has seen on the flow.
	Requests uint16
	// Opened is true if this daemon placed the flow, false if it learned of it later.
	Opened bool
	// Age is the time since the flow's SYN, or since its first packet at this daemon.
	Age time.Duration
}

// FlowEnd says how a flow ended.
type FlowEnd struct {
	// Pending is true if a request was in progress.
	Pending bool
	// Closed is true if the caller closed the flow, false if its record expired or was removed.
	Closed bool
	// Handshake is true if no request was sent, and no answer to the SYN was acknowledged.
	Handshake bool
	// SinceRequest is the time since the last request was sent; 0 if there was none.
	SinceRequest time.Duration
	// ResponseBytes is the number of bytes that the caller acknowledged since the last request was sent.
	ResponseBytes uint32
}

// requestTrace is what a flow's record keeps for the observer. Times are in milliseconds since the epoch.
type requestTrace struct {
	openedAt, requestAt uint32
	// ackAtRequest is the caller's acknowledgement number when it sent the last request.
	ackAtRequest uint32
	requests     uint16
	// opened is true if this daemon placed the flow.
	opened bool
}

// begin records that the caller sent the first packet of a request.
func (r *requestTrace) begin(ms, ack uint32) {
	r.requestAt, r.ackAtRequest = ms, ack
	if r.requests < ^uint16(0) {
		r.requests++
	}
}

// event names a record's flow.
func (e *Engine) event(now time.Time, f *tagRecord) FlowEvent {
	return FlowEvent{
		Target:   f.target,
		Caller:   f.caller,
		Address:  f.service,
		Requests: f.trace.requests,
		Opened:   f.trace.opened,
		Age:      e.records.since(now, f.trace.openedAt),
	}
}

// observe notifies the observer of what a packet changed.
func (e *Engine) observe(now time.Time, p *tagProgress) {
	o := e.cfg.Observer
	if o == nil {
		return
	}
	before, after := &p.before, &p.after
	if p.replaced {
		before = &tagRecord{}
	}
	if p.ackAdvanced && before.requestPending {
		o.ResponseBegan(now, e.event(now, before), e.records.since(now, before.trace.requestAt), after.ack-before.trace.ackAtRequest)
	}
	if after.trace.requests != before.trace.requests {
		o.RequestSent(now, e.event(now, after))
	}
	if p.closed {
		// A FIN counts as new data, so it ends the request in the record.
		ended := *after
		ended.requestPending = after.requestPending || before.requestPending && !p.ackAdvanced
		e.observeEnd(now, &ended, true)
	}
}

// observeEnd notifies the observer of the end of a flow.
func (e *Engine) observeEnd(now time.Time, f *tagRecord, closed bool) {
	if e.cfg.Observer == nil {
		return
	}
	end := FlowEnd{
		Pending:   f.requestPending,
		Closed:    closed,
		Handshake: f.state == tagHandshake,
	}
	if f.trace.requests > 0 {
		end.SinceRequest = e.records.since(now, f.trace.requestAt)
		end.ResponseBytes = f.ack - f.trace.ackAtRequest
	}
	e.cfg.Observer.FlowEnded(now, e.event(now, f), end)
}

// since returns the time since a moment in milliseconds since the epoch.
func (t *tagRecords) since(now time.Time, ms uint32) time.Duration {
	return time.Duration(int32(t.millis(now)-ms)) * time.Millisecond
}
