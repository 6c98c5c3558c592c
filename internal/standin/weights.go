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

// Weights simulates the weight store; the zero value has every version and no rate limit.
type Weights struct {
	server
	// Rate is the maximum number of fetches per second; unlimited if zero.
	Rate float64
	// Burst is the burst size of the rate limit; 1 if zero.
	Burst int
	// FetchTime is the duration of a fetch.
	FetchTime time.Duration
	// Versions are the versions that the store has; every version if empty.
	Versions []string

	stateMu sync.Mutex
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
	return handleFaultRequest(c, w.apply)
}

func (w *Weights) handleStats(c fiber.Ctx) error {
	return c.JSON(w.stats())
}

func (w *Weights) handleFetch(c fiber.Ctx) error {
	version := c.Params("version")
	if !w.hasVersion(version) {
		return c.SendStatus(fiber.StatusNotFound)
	}
	now := time.Now()
	reservation := w.limiter.ReserveN(now, 1)
	if wait := reservation.DelayFrom(now); wait > 0 {
		reservation.CancelAt(now)
		w.stateMu.Lock()
		w.refused++
		w.stateMu.Unlock()
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		return c.SendStatus(fiber.StatusTooManyRequests)
	}
	w.sleep(w.FetchTime)
	w.stateMu.Lock()
	w.fetches[version]++
	w.stateMu.Unlock()
	return c.SendString("weights of " + version)
}

func (w *Weights) hasVersion(version string) bool {
	for _, v := range w.Versions {
		if v == version {
			return true
		}
	}
	return len(w.Versions) == 0
}

// Fetches returns the number of times the version was served.
func (w *Weights) Fetches(version string) int {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	return w.fetches[version]
}

type wireWeightStats struct {
	Fetches map[string]int `json:"fetches"`
	Refused int            `json:"refused"`
}

func (w *Weights) stats() wireWeightStats {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	stats := wireWeightStats{Fetches: map[string]int{}, Refused: w.refused}
	for v, n := range w.fetches {
		stats.Fetches[v] = n
	}
	return stats
}
