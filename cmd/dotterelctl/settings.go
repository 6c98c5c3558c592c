package main

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/dotterelpulley/dotterelpulley/decoder"
	"github.com/dotterelpulley/dotterelpulley/entry"
	"github.com/dotterelpulley/dotterelpulley/mover"
)

// checkSettings checks the settings of an entry host or of a mover. They are distinguished by the keys that only an entry host has.
func checkSettings(file string, data []byte) error {
	if !isEntrySettings(data) {
		_, err := mover.ParseSettings(file, data)
		return err
	}
	_, err := entry.LoadSettings(file)
	if err == nil {
		return nil
	}
	var problem decoder.Problem
	if errors.As(err, &problem) {
		return err
	}
	return withLines(file, data, err)
}

func isEntrySettings(data []byte) bool {
	var top map[string]any
	if err := toml.Unmarshal(data, &top); err != nil {
		return false
	}
	for _, key := range []string{"caller-address", "peer-address", "limits", "timeouts"} {
		if _, found := top[key]; found {
			return true
		}
	}
	return false
}

// withLines adds the file and the line to each error line of the form "key: detail".
func withLines(file string, data []byte, err error) error {
	lines := decoder.IndexLines(file, data)
	var problems []error
	for _, line := range strings.Split(strings.TrimPrefix(err.Error(), file+": "), "\n") {
		key, detail, found := strings.Cut(line, ": ")
		if !found {
			return fmt.Errorf("%s: %s", file, line)
		}
		problems = append(problems, lines.Problem(key, detail))
	}
	return errors.Join(problems...)
}
