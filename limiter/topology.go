package limiter

import "github.com/dogwoodweir/dogwoodweir/registrar"

// candidates is the number of hosts of a cell that a daemon asks, in order.
const candidates = 6

// place is where the holder of a group is asked for.
type place struct {
	group group
	// perDomain is set if each failure domain is a cell, otherwise each region is one.
	perDomain bool
}

// route holds the hosts for a place.
type route struct {
	// order are the first hosts of the own cell.
	order []string
	// lenders are the first hosts of the other cells.
	lenders []string
}

// topology finds the holders of groups in a list of daemons.
type topology struct {
	own     registrar.Entry
	entries []registrar.Entry
	byHost  map[string]registrar.Entry
	routes  map[place]*route
}

func newTopology(own registrar.Entry, entries []registrar.Entry) *topology {
	t := &topology{own: own, entries: entries, byHost: make(map[string]registrar.Entry, len(entries)), routes: map[place]*route{}}
	for _, e := range entries {
		t.byHost[e.Host] = e
	}
	return t
}

// isFor reports whether the topology was made from this list.
func (t *topology) isFor(entries []registrar.Entry) bool {
	return len(t.entries) == len(entries) && (len(entries) == 0 || &t.entries[0] == &entries[0])
}

func (p place) cell(e *registrar.Entry) string {
	if p.perDomain {
		return e.Domain
	}
	return e.Region
}

// route returns the hosts for a place.
func (t *topology) route(p place) *route {
	if r := t.routes[p]; r != nil {
		return r
	}
	cells := map[string][]string{}
	own := p.cell(&t.own)
	cells[own] = []string{t.own.Host}
	for i := range t.entries {
		e := &t.entries[i]
		cells[p.cell(e)] = append(cells[p.cell(e)], e.Host)
	}
	r := &route{order: rankHosts(p.group.name(), cells[own], candidates)}
	for _, cell := range sortedKeys(cells) {
		if cell != own {
			r.lenders = append(r.lenders, rankHosts(p.group.name(), cells[cell], 1)...)
		}
	}
	t.routes[p] = r
	return r
}
