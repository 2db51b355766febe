package main

import (
	_ "embed"
	"strings"
)

//go:embed names.txt
var namesText string

// names holds the platform's names by the short ones that this program uses.
var names = func() map[string]string {
	m := map[string]string{}
	for line := range strings.Lines(namesText) {
		if short, name, found := strings.Cut(strings.TrimSpace(line), "="); found {
			m[short] = name
		}
	}
	return m
}()
