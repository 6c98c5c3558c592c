package budgeter

import (
	"time"
)

// incompleteWeight makes connections without any completed request go before others that have held sixteen times as much.
const incompleteWeight = 16

// selectVictim returns the account to close when there is no room, nil if all serve requests.
//
// Answers the load pattern of clients that hold unfinished requests: what an ordinary client holds until its request is complete is small
// and short-lived, so the product of both tells them apart, whichever of the two a crowd makes large.
func selectVictim(accounts map[*Account]struct{}, now time.Time) *Account {
	var victim *Account
	worst := -1.0
	for a := range accounts {
		if a.evicted || a.stage == serving {
			continue
		}
		if c := a.cost(now); c > worst {
			victim, worst = a, c
		}
	}
	return victim
}

// cost returns the byte-seconds that the account has held without completing a request.
func (a *Account) cost(now time.Time) float64 {
	c := float64(a.held) * max(now.Sub(a.since), 0).Seconds()
	if !a.completed {
		c *= incompleteWeight
	}
	return c
}
