package fleet

import "github.com/banyanspur/banyanspur/limit"

// ControlSettings are the fields of a [Control] that may change while it runs.
type ControlSettings struct {
	Seeds      []string
	Losses     int
	ZoneLosses int
	ColdBound  limit.ColdBound
}

// Change replaces settings of a control host that runs. A host that may bootstrap the group
// asks the seeds that it has started with until the group exists: hosts that disagree about
// the seeds could bootstrap two groups.
func (c *Control) Change(s ControlSettings) {
	c.seeds.Store(&s.Seeds)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Losses, c.ZoneLosses, c.ColdBound = s.Losses, s.ZoneLosses, s.ColdBound
}

// currentSeeds returns the addresses at which a host that belongs to no group asks for it.
func (c *Control) currentSeeds() []string {
	if s := c.seeds.Load(); s != nil {
		return *s
	}
	return c.Seeds
}

// bootstrapSeeds returns the addresses of the hosts that bootstrap the group.
func (c *Control) bootstrapSeeds() []string {
	if c.mayBootstrap() {
		return c.Seeds
	}
	return c.currentSeeds()
}
