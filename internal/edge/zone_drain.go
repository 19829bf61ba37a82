package edge

import (
	"time"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/internal/news"
)

// zoneDrains is what the control loop knows of drained availability zones beyond the directory.
type zoneDrains struct {
	// inForce holds the zones whose drain is in force here.
	inForce []string
	// changes holds the position of the last change of each zone's drain.
	changes map[string]news.Position
}

// setZoneDraining passes the drain of a zone, or its end, to the directory. The item's value has no meaning, and a
// removal may come without one.
func (c *controlLoop) setZoneDraining(zone string, it news.Item) {
	c.directory.SetZoneDraining(zone, !it.Removed)
	if c.drains.changes == nil {
		c.drains.changes = make(map[string]news.Position)
	}
	c.drains.changes[zone] = it.Position()
}

// reportDrains logs which drains of zones begin and end with the lists that were just applied.
func (c *controlLoop) reportDrains(now time.Time, draining []string) {
	ended, began := lo.Difference(c.drains.inForce, draining)
	c.drains.inForce = draining
	c.d.metrics.drainingZones.Update(int64(len(draining)))
	for _, zone := range began {
		c.logDrain(now, zone, "drain_began")
	}
	for _, zone := range ended {
		c.logDrain(now, zone, "drain_ended")
		delete(c.drains.changes, zone)
	}
}

func (c *controlLoop) logDrain(now time.Time, zone, event string) {
	c.d.log.Info("drain of an availability zone began or ended", "op", "zones", "event", event, "zone", zone,
		"revision", c.drains.changes[zone].Revision, "era", c.drains.changes[zone].Era, "age_ms", c.news.Age(now).Milliseconds())
}
