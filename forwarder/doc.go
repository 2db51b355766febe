// Package forwarder sends calls to targets over HTTP and reads their answers. It keeps
// the connections and says exactly what is known of a call that failed.
//
// # Usage
//
//	f := forwarder.New(dialect, forwarder.DefaultOptions())
//	exchange, err := f.Send(ctx, forwarder.Request{...})
//	switch forwarder.KindOf(err) {
//	case forwarder.KindNotSent:   // the target cannot have run the call
//	case forwarder.KindUncertain: // the target may have run it
//	}
//	defer exchange.Close()
//	body := exchange.Response().Body
//
// A connection is used again only after its answer was read to the end, carried the
// call's ID and left no bytes behind. Cancelling the context of Send closes the
// connection at any time before the exchange ends, which stops the target's work.
package forwarder
