package limiter

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Observer gets the figures of a Limiter for metrics. Nil functions are not called. They must not block.
type Observer struct {
	// Decision is called for each call. workspace is the name in metrics.
	Decision func(workspace string, d *Decision, took time.Duration)
	// StoreCall is called for each call to the store.
	StoreCall func(operation string, kind provider.Kind)
	// Borrowed is called with the tokens that another holder lent, 0 for none.
	Borrowed func(tokens float64)
	// NoticeSent is called for each notice to another holder.
	NoticeSent func(delivered bool)
}

func (o *Observer) decision(workspace string, d *Decision, took time.Duration) {
	if o.Decision != nil {
		o.Decision(workspace, d, took)
	}
}

func (o *Observer) storeCall(operation string, kind provider.Kind) {
	if o.StoreCall != nil {
		o.StoreCall(operation, kind)
	}
}

func (o *Observer) borrowed(tokens float64) {
	if o.Borrowed != nil {
		o.Borrowed(tokens)
	}
}

func (o *Observer) noticeSent(delivered bool) {
	if o.NoticeSent != nil {
		o.NoticeSent(delivered)
	}
}
