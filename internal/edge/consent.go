// Resets of open flows whose callers sent nothing, and the questions to the other daemons before them.

package edge

import (
	"net/netip"
	"time"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/internal/consent"
	"github.com/fireflypin/fireflypin/internal/news"
)

const (
	// fleetKnownAfter is how long after its start a daemon counts as knowing the others of its zone: longer than the
	// interval at which it requests members.
	fleetKnownAfter = 3 * time.Second
	// leavingSilence is how long a daemon whose planned stop has begun must have been silent to count as ended: the drain
	// timeout, and the age up to which flows are reset.
	leavingSilence = 15 * time.Second
	// leavingAnswers is how long after its last heartbeat a daemon whose planned stop has begun is expected to answer.
	leavingAnswers = time.Second
)

// resetIdleFlows resets the flows of the unresponsive targets of which this daemon received the last packet, and asks the
// other daemons about further ones.
func (c *controlLoop) resetIdleFlows(now time.Time) {
	unresponsive := c.d.engine.Tick(now)
	c.resetConfirmed(now)
	for _, id := range unresponsive {
		if c.consent.Waits(now, id) {
			continue
		}
		others, ok := c.otherDaemons(now)
		if !ok {
			c.d.metrics.resetsUnasked.Inc(1)
			continue
		}
		request := c.d.engine.ResetCandidates(now, id)
		if len(request.Flows) == 0 {
			continue
		}
		all := others.All()
		if len(all) == 0 {
			c.sendResets(now, c.d.engine.ResetConfirmed(now, request))
			continue
		}
		if c.d.flowLogLimit.allow(now, flowsAsked) {
			c.d.log.Info("other daemons are asked about flows that are to be reset", "op", "flow", "event", flowsAsked,
				"target", c.d.targetName(id), "flows", len(request.Flows), "daemons", len(all))
		}
		for _, q := range c.consent.Ask(now, request, others) {
			c.d.metrics.resetQuestions.Inc(1)
			c.d.peers.sendQuestion(all, &q)
		}
	}
}

func (c *controlLoop) resetConfirmed(now time.Time) {
	for _, request := range c.consent.Confirmed(now) {
		c.sendResets(now, c.d.engine.ResetConfirmed(now, request))
	}
}

// otherDaemons returns the daemons that may have received packets of this daemon's flows. It returns false if a daemon of the
// zone may have received packets and is not expected to answer, or may not be known yet.
func (c *controlLoop) otherDaemons(now time.Time) (consent.Others, bool) {
	var others consent.Others
	for _, p := range c.news.Peers(now) {
		silence := now.Sub(p.Heard)
		ended := p.Leaving && silence >= leavingSilence
		responsive := p.Live || p.Leaving && silence < leavingAnswers
		switch inZone := p.Zone == c.d.settings.Zone.Name; {
		case ended, p.Zone == "": // a seed that was never heard has no zone; a daemon that runs is known to others
		case inZone && !responsive:
			return consent.Others{}, false
		case inZone:
			others.Zone = append(others.Zone, p.Addr)
		case responsive && c.news.SmallFleet():
			others.Further = append(others.Further, p.Addr)
		}
	}
	if len(others.Zone)+len(others.Further) == 0 {
		return others, lo.EveryBy(c.d.settings.Seeds, func(a netip.AddrPort) bool { return a == c.d.settings.Peer })
	}
	return others, now.Sub(c.startedAt) >= fleetKnownAfter
}

// handleQuestion answers another daemon's question about flows.
func (c *controlLoop) handleQuestion(now time.Time, from netip.AddrPort, q *consent.Question) {
	peers := c.news.Peers(now)
	asker, known := lo.Find(peers, func(p news.Peer) bool { return p.Addr == from })
	if !known {
		return // without its zone this daemon cannot tell whether the asker knows all daemons there
	}
	inZone := lo.CountBy(peers, func(p news.Peer) bool { return p.Zone == asker.Zone && (p.Live || p.Addr == from) })
	if asker.Zone == c.d.settings.Zone.Name {
		inZone++
	}
	c.d.peers.sendAnswer(from, &consent.Answer{
		ID:     q.ID,
		Reach:  c.d.engine.Reach(now),
		InZone: inZone,
		Later:  c.d.engine.Yield(now, q.Flows),
	})
}

// handleAnswer records another daemon's answer. After a stall that no tick has noticed yet, the answers may be too old.
func (c *controlLoop) handleAnswer(now time.Time, from netip.AddrPort, a *consent.Answer) {
	if c.d.pauses.undetectedStall() {
		c.consent.Cancel()
		return
	}
	c.consent.HandleAnswer(now, from, *a)
	c.resetConfirmed(now)
}
