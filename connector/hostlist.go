package connector

import (
	"context"
	"net/http"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// HostList is the HTTP client of the platform's host list.
type HostList struct {
	client *Client
	base   string
}

// NewHostList returns a client of the list at a base URL.
func NewHostList(client *Client, base string) *HostList {
	return &HostList{client: client, base: base}
}

// List returns the platform's list.
func (h *HostList) List(ctx context.Context) ([]provider.Member, error) {
	var members []provider.Member
	err := h.client.roundTrip(ctx, "hosts.list", http.MethodGet, h.base+"/v1/hosts", nil, &members)
	return members, err
}
