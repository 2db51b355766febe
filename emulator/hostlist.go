package emulator

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/etag"
	"github.com/rotisserie/eris"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// HostListFaults are the fault switches of a host list.
type HostListFaults struct {
	// LagMs is the age of the list that List returns.
	LagMs int `json:"lagMs"`
	// Down makes List fail.
	Down bool `json:"down"`
}

// HostList emulates the platform's eventually consistent host list. It implements
// provider.HostLister.
type HostList struct {
	mu      sync.Mutex
	faults  HostListFaults
	members map[string]provider.Member
	// history contains a copy of the list after each change, oldest first.
	history []listState
}

type listState struct {
	at      time.Time
	members []provider.Member
}

// maxListStates is the number of states kept in the history.
const maxListStates = 1_024

// NewHostList returns a host list with the given members.
func NewHostList(members []provider.Member) *HostList {
	h := &HostList{members: map[string]provider.Member{}}
	for _, member := range members {
		h.members[member.Host] = member
	}
	h.history = []listState{{members: h.sorted()}}
	return h
}

func (h *HostList) sorted() []provider.Member {
	return slices.SortedFunc(maps.Values(h.members), func(a, b provider.Member) int {
		return strings.Compare(a.Host, b.Host)
	})
}

// Faults returns the fault switches.
func (h *HostList) Faults() HostListFaults {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.faults
}

// SetFaults replaces the fault switches.
func (h *HostList) SetFaults(faults HostListFaults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = faults
}

// Put adds or replaces a member. A member with Leaving set is announced as leaving.
func (h *HostList) Put(member provider.Member) {
	h.change(func() { h.members[member.Host] = member })
}

// Remove removes a host.
func (h *HostList) Remove(host string) {
	h.change(func() { delete(h.members, host) })
}

func (h *HostList) change(apply func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	apply()
	h.history = append(h.history, listState{at: time.Now(), members: h.sorted()})
	if len(h.history) > maxListStates {
		h.history = slices.Delete(h.history, 0, len(h.history)-maxListStates)
	}
}

// List returns the members as they were LagMs ago.
func (h *HostList) List(context.Context) ([]provider.Member, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.faults.Down {
		return nil, provider.NewError("hosts.list", provider.KindUnavailable, eris.New("host list is down by a fault switch"))
	}
	cutoff := time.Now().Add(-time.Duration(h.faults.LagMs) * time.Millisecond)
	visible := h.history[0]
	for _, state := range h.history[1:] {
		if !state.at.After(cutoff) {
			visible = state
		}
	}
	return slices.Clone(visible.members), nil
}

// Handler serves the list over HTTP: GET /v1/hosts returns it with an ETag, POST /v1/hosts
// puts one member and DELETE /v1/hosts/<host> removes one.
func (h *HostList) Handler() *fiber.App {
	app := newApp()
	app.Use("/v1/hosts", etag.New())
	addFaultRoutes(app, h.Faults, h.SetFaults)
	app.Get("/v1/hosts", func(c *fiber.Ctx) error {
		members, err := h.List(c.Context())
		return respondValue(c, members, err)
	})
	app.Post("/v1/hosts", func(c *fiber.Ctx) error {
		var member provider.Member
		if err := json.Unmarshal(c.Body(), &member); err != nil || member.Host == "" {
			return writeError(c, provider.NewError("hosts.put", provider.KindInvalid, err))
		}
		h.Put(member)
		return c.JSON(member)
	})
	app.Delete("/v1/hosts/:host", func(c *fiber.Ctx) error {
		h.Remove(c.Params("host"))
		return c.JSON(struct{}{})
	})
	return app
}
