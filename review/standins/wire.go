// Command standins runs the cases of the review: it starts entry daemons as separate processes and
// plays the platform's store, the runners and the clients for them.
package main

import (
	_ "embed"
	"encoding/json"
)

// The names of the platform's pages are kept in a file of their own.
//
//go:embed wire.json
var wireFile []byte

var wire = func() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(wireFile, &names); err != nil {
		panic(err)
	}
	return names
}()

// name returns a header, path or field of the platform's pages.
func name(key string) string {
	n, ok := wire[key]
	if !ok {
		panic("no name for " + key)
	}
	return n
}
