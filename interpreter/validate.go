package interpreter

import (
	"maps"
	"slices"
)

// validate returns the first error that it finds. It checks states and events in a fixed
// order, so that an invalid chart gives the same error in every run.
func (c *Chart) validate(events []string) error {
	if !c.Has(c.initial) {
		return c.newError(KindUnknownState, "", c.initial)
	}
	used := map[string]bool{}
	for _, name := range c.States() {
		if err := c.validateState(name, events, used); err != nil {
			return err
		}
	}
	for _, event := range events {
		if !used["event "+event] {
			return c.newError(KindUnusedEvent, "", event)
		}
	}
	visited := c.reachable()
	for _, name := range c.States() {
		if !visited[name] {
			return c.newError(KindUnreachable, "", name)
		}
	}
	return c.unusedBinding(used)
}

func (c *Chart) validateState(name string, events []string, used map[string]bool) error {
	s := c.states[name]
	if s.Terminal && len(s.On) > 0 {
		return c.newError(KindTerminalExit, name, "")
	}
	hasExit := s.Terminal
	for _, event := range slices.Sorted(maps.Keys(s.On)) {
		t := s.On[event]
		if !slices.Contains(events, event) {
			return c.newError(KindUnknownEvent, name, event)
		}
		if !c.Has(t.To) {
			return c.newError(KindUnknownState, name, t.To)
		}
		if missing := c.missingBinding(t); missing != "" {
			return c.newError(KindMissingHandler, name, missing)
		}
		hasExit = hasExit || t.To != name
		used["event "+event] = true
		used["guard "+t.Guard] = true
		for _, handler := range t.Do {
			used["handler "+handler] = true
		}
	}
	if !hasExit {
		return c.newError(KindNoExit, name, "")
	}
	return nil
}

func (c *Chart) missingBinding(t transition) string {
	if t.Guard != "" && c.bindings.Guards[t.Guard] == nil {
		return t.Guard
	}
	for _, handler := range t.Do {
		if c.bindings.Handlers[handler] == nil {
			return handler
		}
	}
	return ""
}

func (c *Chart) unusedBinding(used map[string]bool) error {
	for _, name := range slices.Sorted(maps.Keys(c.bindings.Guards)) {
		if !used["guard "+name] {
			return c.newError(KindUnusedHandler, "", name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.bindings.Handlers)) {
		if !used["handler "+name] {
			return c.newError(KindUnusedHandler, "", name)
		}
	}
	return nil
}

func (c *Chart) reachable() map[string]bool {
	visited := map[string]bool{c.initial: true}
	queue := []string{c.initial}
	for len(queue) > 0 {
		name := queue[0]
		queue = queue[1:]
		for _, t := range c.states[name].On {
			if !visited[t.To] {
				visited[t.To] = true
				queue = append(queue, t.To)
			}
		}
	}
	return visited
}

func (c *Chart) newError(kind Kind, state, name string) error {
	return &Error{operation: "load", kind: kind, chart: c.name, state: state, name: name}
}
