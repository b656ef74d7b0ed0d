package gate

import (
	"time"

	"github.com/banyanspur/banyanspur/limit"
)

// Settings are the fields of a [Gate] that may change while it runs.
type Settings struct {
	MaxPlanStaleness time.Duration
	ColdBound        limit.ColdBound
}

// Change replaces settings of a gate that may be running.
func (g *Gate) Change(s Settings) { g.changed.Store(&s) }

// settings returns the settings in force.
func (g *Gate) settings() Settings {
	if s := g.changed.Load(); s != nil {
		return *s
	}
	return Settings{MaxPlanStaleness: g.MaxPlanStaleness, ColdBound: g.ColdBound}
}
