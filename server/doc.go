// Package server is the HTTP interface of a daemon for callers, operators and
// monitoring.
//
// # Usage
//
// Implement Daemon, then serve it:
//
//	listener, err := server.Listen(address)
//	s := server.New(daemon, server.NewKeyring(settings.Keys), logger)
//	err = s.Serve(listener) // returns after Shutdown
//
// The package checks keys, sizes and syntax and translates between HTTP and the
// types Call, Chunk and Response. It holds no state of programs.
package server
