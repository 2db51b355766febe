// Package receiver serves the requests of callers: it finds the route, the history and
// the budget of a call, has it placed, relays the target's answer and records what was
// said.
//
// # Usage
//
//	r := receiver.New(receiver.Parts{...}, receiver.DefaultOptions())
//	r.SetConfiguration(configuration)
//	server := &http.Server{Handler: r}
//
// Each caller's attempt ends in exactly one way: the whole answer of a target, an
// answer that breaks off visibly, or a refusal. A refusal with 402, 429 or 503 promises
// that the call has not run and never will; 502 and 504 promise nothing.
package receiver
