package sampler

import (
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSampleParsesProcFiles(t *testing.T) {
	c := qt.New(t)
	var s Sample
	c.Assert(s.parseStat("42 (a) b (c) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20"), qt.IsNil)
	c.Assert(s.parseIO("rchar: 100\nwchar: 20\nread_bytes: 7\n"), qt.IsNil)
	c.Assert(s.parseStatus("Name:\tx\nVmHWM:\t    8 kB\nVmRSS:\t    4 kB\nRssAnon:\t    2 kB\n"), qt.IsNil)
	c.Check(s, qt.DeepEquals, Sample{
		CPU: 2 * time.Second, Read: 100, Written: 20,
		Resident: 4096, ResidentPeak: 8192, Private: 2048,
	})
	c.Check(s.parseStat("42 (a) S 1"), qt.ErrorMatches, ".*too few")
	c.Check(s.parseIO("rchar: many\n"), qt.ErrorMatches, `key "rchar": .*`)
}

func TestTakeSamplesThisProcess(t *testing.T) {
	c := qt.New(t)
	s, err := Take(PID(os.Getpid()))
	c.Assert(err, qt.IsNil)
	c.Check(s.Resident > 0 && s.ResidentPeak >= s.Resident, qt.IsTrue)
	c.Check(s.Read > 0, qt.IsTrue)
	_, err = Take(-1)
	c.Check(err, qt.ErrorMatches, "read counts of process -1: .*")
}

func TestBetween(t *testing.T) {
	c := qt.New(t)
	first := Sample{At: time.Unix(0, 0), CPU: time.Second, Read: 10, Written: 10}
	last := Sample{At: time.Unix(10, 0), CPU: 2 * time.Second, Read: 110, Written: 30, Resident: 5}
	c.Check(Between(first, last), qt.DeepEquals, Cost{
		Elapsed: 10 * time.Second, Cores: 0.1, BytesPerSecond: 12, Resident: 5,
	})
	c.Check(Between(last, first), qt.DeepEquals, Cost{})
}
