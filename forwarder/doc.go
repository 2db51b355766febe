// Package forwarder sends calls to targets over HTTP and reads their responses. It pools
// connections, and its errors tell whether a failed call may have run.
//
// # Usage
//
//	f := forwarder.New(dialect, forwarder.DefaultOptions())
//	exchange, err := f.Send(ctx, forwarder.Request{...})
//	switch forwarder.KindOf(err) {
//	case forwarder.KindNotSent:   // the target cannot have run the call
//	case forwarder.KindGone:      // nor can it run any other, since it has ended
//	case forwarder.KindUncertain: // the target may have run it
//	}
//	defer exchange.Close()
//	body, err := io.ReadAll(exchange)
//
// A connection is used again only if its response carried the call's ID, was read to the
// end and was not followed by further bytes. Cancelling the context of Send closes the
// connection at any time before the exchange ends, which stops the target's work.
package forwarder
