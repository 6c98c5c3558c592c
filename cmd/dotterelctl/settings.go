package main

import (
	"github.com/pelletier/go-toml/v2"

	"github.com/dotterelpulley/dotterelpulley/entry"
	"github.com/dotterelpulley/dotterelpulley/mover"
)

// checkSettings checks the settings of either binary, told apart by the keys that only an entry host has.
func checkSettings(file string, data []byte) error {
	var top map[string]any
	if err := toml.Unmarshal(data, &top); err == nil && ofEntry(top) {
		_, err := entry.LoadSettings(file)
		return err
	}
	_, err := mover.ParseSettings(file, data)
	return err
}

func ofEntry(top map[string]any) bool {
	for _, key := range []string{"caller-address", "peer-address", "limits", "timeouts"} {
		if _, ok := top[key]; ok {
			return true
		}
	}
	return false
}
