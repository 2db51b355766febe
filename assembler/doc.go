// Package assembler builds and runs the entry daemon: its listeners, the feeds of
// configuration and targets, the recorder, metrics and logs.
//
// # Usage
//
//	daemon := assembler.New(settings, assembler.Dependencies{...}, logger)
//	err = daemon.Run(ctx) // serves until the context ends, then shuts down gracefully
//
// One goroutine owns the state of configuration and targets, another one the writes to
// the store. The goroutines that serve calls read snapshots that these two publish.
package assembler
