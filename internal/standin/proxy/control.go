package proxy

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/gofiber/fiber/v3"
)

// wireFaults is the encoding of a fault request; fields that are absent change nothing.
type wireFaults struct {
	Refuse      *bool   `json:"refuse"`
	Cut         bool    `json:"cut"`
	Silence     bool    `json:"silence"`
	Delay       *string `json:"delay"`
	LoseAnswers *int    `json:"lose-answers"`
}

// Handle applies a fault request received over HTTP, such as {"silence":true}.
func (p *Proxy) Handle(c fiber.Ctx) error {
	var w wireFaults
	if err := json.Unmarshal(c.Body(), &w); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(fmt.Sprintf("decode faults: %v", err))
	}
	if err := p.apply(w); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	return c.SendStatus(fiber.StatusNoContent)
}

func (p *Proxy) apply(w wireFaults) error {
	if w.Delay != nil {
		d, err := time.ParseDuration(*w.Delay)
		if err != nil {
			return fmt.Errorf("delay %q: %w", *w.Delay, err)
		}
		p.Delay(d)
	}
	if w.LoseAnswers != nil {
		p.LoseAnswers(*w.LoseAnswers)
	}
	if w.Silence {
		p.SilenceConnections()
	}
	if w.Cut {
		p.CloseConnections()
	}
	if w.Refuse == nil {
		return nil
	}
	if *w.Refuse {
		p.Refuse()
		return nil
	}
	return p.Accept()
}
