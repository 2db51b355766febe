// Package server is the HTTP interface of a daemon for callers, operators and
// monitoring.
//
// # Usage
//
// Implement Core, then serve it:
//
//	s := server.New(core, server.NewKeyring(settings.Keys), logger)
//	err := s.Serve(address) // returns after Shutdown or Kill
//
// The package checks keys, sizes and syntax and translates between HTTP and the
// types Call, Event and Answer. It holds no state of programs.
package server
