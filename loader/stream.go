package loader

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"
)

// elapsedFunc returns the time since the arrival.
type elapsedFunc func() time.Duration

// readStream passes the server-sent events of the reader to the validator.
func readStream(r io.Reader, validator *Validator, now elapsedFunc) {
	lines := bufio.NewReader(r)
	name := ""
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			validator.Add(now(), connectionFailure(err))
			return
		}
		line = strings.TrimRight(line, "\r\n")
		if field, ok := strings.CutPrefix(line, "event: "); ok {
			name = field
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		event, err := decodeEvent(name, []byte(data))
		if err != nil {
			validator.Add(now(), Failure{Outcome: OutcomeWrong, Fault: err.Error()})
			return
		}
		validator.Add(now(), event)
		if name != "chunk" {
			return
		}
	}
}

func decodeEvent(name string, data []byte) (Event, error) {
	switch name {
	case "chunk":
		var w wireChunk
		err := decode(data, &w)
		return w.fromWire(), err
	case "end":
		var w wireEnd
		err := decode(data, &w)
		return w.fromWire(), err
	case "error":
		return decodeRefusal(data)
	}
	return nil, fmt.Errorf("event %q is not known", name)
}

func decodeRefusal(data []byte) (Event, error) {
	var w wireRefusal
	if err := decode(data, &w); err != nil {
		return nil, err
	}
	return w.fromWire()
}

func decodeBody(data []byte) (Event, error) {
	var w wireBody
	err := decode(data, &w)
	return w.fromWire(), err
}

func decode(data []byte, v any) error {
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

// connectionFailure distinguishes a timeout from a truncated answer.
func connectionFailure(err error) Failure {
	outcome := OutcomeTruncated
	if errors.Is(err, os.ErrDeadlineExceeded) {
		outcome = OutcomeTimedOut
	}
	return Failure{Outcome: outcome, Fault: err.Error()}
}
