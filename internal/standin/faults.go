package standin

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/gofiber/fiber/v3"
)

// wireServerFaults are the faults common to all stand-ins; fields that are absent change nothing.
type wireServerFaults struct {
	Down        *bool         `json:"down"`
	Delay       *wireDuration `json:"delay"`
	LoseAnswers *int          `json:"lose-answers"`
	Silence     *bool         `json:"silence"`
}

func (s *server) apply(w wireServerFaults) error {
	if w.Delay != nil {
		s.Delay(time.Duration(*w.Delay))
	}
	if w.LoseAnswers != nil {
		s.LoseAnswers(*w.LoseAnswers)
	}
	if w.Silence != nil && *w.Silence {
		s.SilenceConnections()
	}
	if w.Down == nil {
		return nil
	}
	if *w.Down {
		s.Stop()
		return nil
	}
	return s.Resume()
}

// handleFaultRequest decodes the body of a fault request and applies it.
func handleFaultRequest[W any](c fiber.Ctx, apply func(W) error) error {
	var w W
	if err := json.Unmarshal(c.Body(), &w); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(fmt.Sprintf("decode faults: %v", err))
	}
	if err := apply(w); err != nil {
		return c.Status(fiber.StatusInternalServerError).SendString(err.Error())
	}
	return c.SendStatus(fiber.StatusNoContent)
}

type wireDamage struct {
	Stream string `json:"stream"`
	Offset int64  `json:"offset"`
}

type wireLogFaults struct {
	wireServerFaults
	Damage *wireDamage `json:"damage"`
}

func (l *Log) handleFaults(c fiber.Ctx) error {
	return handleFaultRequest(c, l.applyFaults)
}

func (l *Log) applyFaults(w wireLogFaults) error {
	if w.Damage != nil && !l.Damage(w.Damage.Stream, w.Damage.Offset) {
		return fmt.Errorf("stream %q keeps no record %d", w.Damage.Stream, w.Damage.Offset)
	}
	return l.apply(w.wireServerFaults)
}
