package gateway

import (
	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley/platform"
)

// Reload reads the settings file again; bounds apply at once, addresses at the next start.
func (g *Gateway) Reload() {
	s, err := platform.LoadSettings()
	if err != nil {
		g.event(log.ErrorLevel, "reload-failed").Err(err).Msg("")
		return
	}
	g.bounds.Store(&s.Bounds)
	g.mutex.Lock()
	g.applyBounds()
	g.mutex.Unlock()
	g.event(log.InfoLevel, "reload").Bool("moved", s.CallerAddress != g.settings.CallerAddress || s.StoreAddress != g.settings.StoreAddress).Msg("")
}
