package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a first read that waits for new records: a store that was silent when hosts restarted cost each of them
// 0.8 s more (log of swancoast-notices inc-a1b0: start at 36.47 s, store-lost at 38.17 s).
func TestOnlyAReadAfterASuccessfulReadWaits(t *testing.T) {
	c := qt.New(t)
	c.Assert((&topicReader{}).readWait(operatorsReadWait), qt.Equals, 0*operatorsReadWait)
	c.Assert((&topicReader{synced: true, failing: true}).readWait(operatorsReadWait), qt.Equals, 0*operatorsReadWait)
	c.Assert((&topicReader{synced: true}).readWait(operatorsReadWait), qt.Equals, operatorsReadWait)
}
