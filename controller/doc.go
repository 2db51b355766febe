// Package controller assembles a daemon: the control loop, the program loop, the
// effects that carry out their commands, and the traffic between callers and
// targets.
//
// # Usage
//
//	daemon, err := controller.New(settings, platform, logger)
//	err = daemon.Run(ctx)       // serves until the context ends
//	err = daemon.Shutdown(ctx)  // from another goroutine: graceful
//	daemon.Kill()               // for tests: at once, without farewell
//
// A loop is one goroutine that owns its state and never waits for I/O: effects run
// in a pool and answer with messages. Traffic goroutines read the routing snapshot
// that the control loop publishes and talk to the loops by messages only. Several
// daemons can run in one process.
package controller
