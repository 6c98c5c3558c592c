package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/platform"
)

func TestOnlyBytesOfOtherZonesAreCounted(t *testing.T) {
	c := qt.New(t)
	g := &Gateway{settings: platform.Settings{Zone: "a"}}
	g.countZoneBytes("requests", "a", 100)
	g.countZoneBytes("requests", "", 100)
	g.countZoneBytes("requests", "b", 7)
	g.countZoneBytes("requests", "c", 5)
	c.Assert(g.metrics.counts.Get("zone-bytes-requests"), qt.Equals, int64(12))
}

func TestEveryMessageHasACause(t *testing.T) {
	c := qt.New(t)
	for _, m := range []announcer.Message{
		announcer.Digest{}, announcer.Change{}, announcer.Correction{}, announcer.Probe{}, announcer.Ack{}, announcer.HistoryRequest{}, announcer.UsageHistory{},
	} {
		c.Assert(messageCause(m), qt.Not(qt.Equals), "others", qt.Commentf("%T", m))
	}
}
