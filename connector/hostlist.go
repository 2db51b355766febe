package connector

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// HostList is the HTTP client of the platform's host list.
type HostList struct {
	client *Client
	base   string

	mu sync.Mutex
	// etag and members are from the last response. With the etag in a conditional request
	// the platform does not send an unchanged list again.
	etag    string
	members []provider.Member
}

// NewHostList returns a client of the host list at a base URL.
func NewHostList(client *Client, base string) *HostList {
	return &HostList{client: client, base: base}
}

// List returns the members of the platform's host list.
func (h *HostList) List(ctx context.Context) ([]provider.Member, error) {
	h.mu.Lock()
	tag, members := h.etag, h.members
	h.mu.Unlock()
	header := http.Header{}
	if tag != "" {
		header.Set("If-None-Match", tag)
	}
	fresh := []provider.Member(nil)
	status, responseHeader, err := h.client.roundTripHeader(ctx, "hosts.list", http.MethodGet, h.base+"/v1/hosts", header, nil, &fresh)
	if err != nil {
		return nil, err
	}
	if status == http.StatusNotModified {
		return slices.Clone(members), nil
	}
	h.mu.Lock()
	h.etag, h.members = responseHeader.Get("Etag"), fresh
	h.mu.Unlock()
	return slices.Clone(fresh), nil
}
