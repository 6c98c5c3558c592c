package standin

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
)

const (
	defaultReadLimit = 1000
	maxReadWait      = 30 * time.Second
)

func (l *Log) routes(app *fiber.App) {
	app.Post("/v1/streams/:name/records", l.handleAppend)
	app.Get("/v1/streams/:name/records", l.handleRead)
	app.Get("/standin/stats", l.handleStats)
	app.Post("/standin/faults", l.handleFaults)
}

func (l *Log) handleStats(c fiber.Ctx) error {
	return c.JSON(l.Stats())
}

func (l *Log) handleAppend(c fiber.Ctx) error {
	records := [][]byte{append([]byte(nil), c.Body()...)}
	if strings.HasPrefix(c.Get(fiber.HeaderContentType), fiber.MIMEApplicationJSON) {
		var batch wireBatch
		if err := json.Unmarshal(c.Body(), &batch); err != nil {
			return c.Status(fiber.StatusBadRequest).SendString(err.Error())
		}
		records = batch.Records
	}
	if len(records) == 0 {
		return c.Status(fiber.StatusBadRequest).SendString("no records")
	}
	return c.JSON(wireAppended{Offset: l.Append(c.Params("name"), records...)})
}

func (l *Log) handleRead(c fiber.Ctx) error {
	name := c.Params("name")
	from, err := strconv.ParseInt(c.Query("from", "1"), 10, 64)
	if err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(fmt.Sprintf("from: %v", err))
	}
	limit, err := strconv.Atoi(c.Query("limit", strconv.Itoa(defaultReadLimit)))
	if err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(fmt.Sprintf("limit: %v", err))
	}
	wait, err := time.ParseDuration(c.Query("wait", "0s"))
	if err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(fmt.Sprintf("wait: %v", err))
	}
	page, appended := l.page(name, from, limit)
	timer := time.NewTimer(min(wait, maxReadWait))
	defer timer.Stop()
	for len(page.Records) == 0 {
		select {
		case <-appended:
			page, appended = l.page(name, from, limit)
			continue
		case <-timer.C:
		case <-l.done:
		}
		break
	}
	return c.JSON(page)
}

// Stats are the statistics of the log.
type Stats = wireStats

// Stats returns the current statistics.
func (l *Log) Stats() Stats {
	l.stateMu.Lock()
	defer l.stateMu.Unlock()
	stats := l.stats
	stats.LostAnswers = l.LostAnswers()
	return stats
}
