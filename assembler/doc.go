// Package assembler builds the entry daemon from its parts and runs it: the listeners,
// the feeds of configuration and targets, the recorder, metrics and logs.
//
// # Usage
//
//	daemon := assembler.New(settings, assembler.Dependencies{...}, logger)
//	err = daemon.Run(ctx) // serves until the context ends, then shuts down gracefully
//
// One goroutine owns what is believed about configuration and targets, another the
// writes to the store. Traffic goroutines read the snapshots that these publish.
package assembler
