// Package receiver serves the requests of callers: it finds the route of a call, loads its
// history, reserves its tokens, sends it to a target, forwards the target's response and
// records the turn.
//
// # Usage
//
//	r := receiver.New(receiver.Dependencies{...}, state, receiver.DefaultOptions())
//	r.SetConfiguration(configuration)
//	server := &http.Server{Handler: r}
//
// Each call ends in exactly one way: with the complete response of a target, with a response
// that is aborted, which the caller can detect, or with a rejection. A rejection with 402,
// 429 or 503 guarantees that the call has not run and never will; 502 and 504 guarantee
// nothing.
package receiver
