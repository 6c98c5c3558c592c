package limiter

import "time"

const (
	// ratioFraction and extraFraction are the fractions of a limit over all hosts that the hosts divide. What is left covers the
	// retries of a part below one that are kept for partLifetime, and a part's return over refillWindows.
	ratioFraction = 0.9
	extraFraction = 0.7
	// partLifetime is the fraction of the window for which a host keeps retries beyond its part of the fixed number.
	partLifetime = 0.1
	// refillWindows is the number of windows in which a used part comes back without requests.
	refillWindows = 3
	// defaultRetryWindow is the length of the window if the limit has none.
	defaultRetryWindow = 10 * time.Second
)

// RetryLimit bounds the retries to each service over all hosts: in any window, to a ratio of the service's requests plus a fixed
// number.
type RetryLimit struct {
	Ratio float64
	Extra float64
	// Window is the length of the window; 10 s if zero.
	Window time.Duration
}

// retryPart is a host's part of a RetryLimit.
type retryPart struct {
	allowance
	// since is when the host got its first part.
	since time.Time
}

// Divide limits the budget to this host's part of a limit that applies over all hosts, of which there are no more than the number.
//
// Each host pays for the requests of its own callers, so that the parts that depend on them add up wherever the callers go. The
// fixed number is divided evenly. A process begins without its part, which comes back little by little: however often hosts are
// restarted in a window, they use together what one life of each would.
func (b *RetryBudget) Divide(now time.Time, l RetryLimit, hosts int) {
	window := l.Window
	if window <= 0 {
		window = defaultRetryWindow
	}
	burst := max(l.Extra, 0) * extraFraction / float64(max(hosts, 1))
	if b.part == nil {
		b.part = &retryPart{since: now}
	}
	for id := range b.services {
		// What was earned until now was earned at the rate until now.
		b.bucket(now, id)
	}
	b.part.allowance = allowance{
		ratio: max(l.Ratio, 0) * ratioFraction, burst: burst,
		perSecond: burst / (refillWindows * window.Seconds()),
		lifetime:  time.Duration(partLifetime * float64(window)),
	}
}
