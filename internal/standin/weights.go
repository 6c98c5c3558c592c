package standin

import (
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"golang.org/x/time/rate"

	"github.com/dotterelpulley/dotterelpulley"
)

// Weights stands in for the weight store; the zero value knows every version and has no limit.
type Weights struct {
	server
	// Rate is how many fetches a second are served; no limit if zero.
	Rate float64
	// Burst is how many fetches may come at once; 1 if zero.
	Burst int
	// FetchTime is how long a fetch takes.
	FetchTime time.Duration
	// Versions are the versions that the store has; any if empty.
	Versions []string

	state   sync.Mutex
	limiter *rate.Limiter
	fetches map[string]int
	refused int
}

// Start serves the weight store on the address.
func (w *Weights) Start(address dotterelpulley.Address) error {
	limit := rate.Inf
	if w.Rate > 0 {
		limit = rate.Limit(w.Rate)
	}
	w.limiter = rate.NewLimiter(limit, max(1, w.Burst))
	w.fetches = map[string]int{}
	return w.start(address, w.routes)
}

func (w *Weights) routes(app *fiber.App) {
	app.Get("/v1/weights/:version", w.handleFetch)
	app.Post("/standin/faults", w.handleFaults)
	app.Get("/standin/stats", w.handleStats)
}

func (w *Weights) handleFaults(c fiber.Ctx) error {
	return takeFaults(c, w.apply)
}

func (w *Weights) handleStats(c fiber.Ctx) error {
	return c.JSON(w.stats())
}

func (w *Weights) handleFetch(c fiber.Ctx) error {
	version := c.Params("version")
	if !w.has(version) {
		return c.SendStatus(fiber.StatusNotFound)
	}
	now := time.Now()
	reservation := w.limiter.ReserveN(now, 1)
	if wait := reservation.DelayFrom(now); wait > 0 {
		reservation.CancelAt(now)
		w.state.Lock()
		w.refused++
		w.state.Unlock()
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		return c.SendStatus(fiber.StatusTooManyRequests)
	}
	w.pause(w.FetchTime)
	w.state.Lock()
	w.fetches[version]++
	w.state.Unlock()
	return c.SendString("weights of " + version)
}

func (w *Weights) has(version string) bool {
	for _, v := range w.Versions {
		if v == version {
			return true
		}
	}
	return len(w.Versions) == 0
}

// Fetches returns how often the version was served.
func (w *Weights) Fetches(version string) int {
	w.state.Lock()
	defer w.state.Unlock()
	return w.fetches[version]
}

type wireWeightStats struct {
	Fetches map[string]int `json:"fetches"`
	Refused int            `json:"refused"`
}

func (w *Weights) stats() wireWeightStats {
	w.state.Lock()
	defer w.state.Unlock()
	stats := wireWeightStats{Fetches: map[string]int{}, Refused: w.refused}
	for v, n := range w.fetches {
		stats.Fetches[v] = n
	}
	return stats
}
