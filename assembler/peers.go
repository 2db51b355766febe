package assembler

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/registrar"
	"github.com/dogwoodweir/dogwoodweir/replicator"
)

func regionDaemon(e registrar.Entry) replicator.Daemon {
	return replicator.Daemon{Peer: messenger.Peer{Host: e.Host, Address: e.Address}, Domain: e.Domain}
}

// regionDaemons returns the other daemons of this daemon's region.
func (d *Daemon) regionDaemons() []replicator.Daemon {
	entries := d.registrar.RegionEntries()
	daemons := make([]replicator.Daemon, len(entries))
	for i, e := range entries {
		daemons[i] = regionDaemon(e)
	}
	return daemons
}

// domainPeers returns the other daemons of this daemon's failure domain.
func (d *Daemon) domainPeers() []messenger.Peer {
	var peers []messenger.Peer
	for _, e := range d.registrar.RegionEntries() {
		if e.Domain == d.settings.FailureDomain {
			peers = append(peers, messenger.Peer{Host: e.Host, Address: e.Address})
		}
	}
	return peers
}

// errUnknownMethod is the reply to a method that this daemon does not serve.
var errUnknownMethod = errors.New("unknown method")

// peerHandler serves the requests of other daemons.
type peerHandler struct{ daemon *Daemon }

// Handle implements messenger.Handler.
func (h peerHandler) Handle(ctx context.Context, from, method string, params json.RawMessage) (any, error) {
	result, handled, err := h.daemon.store.Handle(ctx, method, params)
	if !handled {
		result, handled, err = h.daemon.replicas.Handle(ctx, method, params)
	}
	if !handled {
		result, handled, err = h.daemon.borrower.Handle(ctx, h.daemon.recorder, method, params)
	}
	if !handled {
		result, handled, err = h.daemon.limiter.Handle(ctx, method, params)
	}
	if !handled {
		result, handled, err = h.daemon.surveyor.Handle(from, method, params)
	}
	if !handled {
		return nil, errUnknownMethod
	}
	return result, err
}

// HandleCall implements messenger.Handler. It fails, since entry daemons do not forward
// calls to each other.
func (h peerHandler) HandleCall(
	context.Context, string, encoder.ForwardedCall, messenger.Emit,
) (encoder.CallResult, error) {
	return encoder.CallResult{}, errUnknownMethod
}
