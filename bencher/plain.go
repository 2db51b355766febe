package bencher

import "time"

// plainSlots is the number of calls that one instance runs at once.
const plainSlots = 8

// plain is a fake instance of a plain service: first come first served.
type plain struct {
	world   *world
	name    string
	domain  int
	running int
	silent  bool
	queue   []func()
}

func (p *plain) submit(service time.Duration, done func()) {
	run := func() {
		p.running++
		p.world.after(service, func() {
			p.running--
			done()
			if len(p.queue) > 0 {
				next := p.queue[0]
				p.queue = p.queue[1:]
				next()
			}
		})
	}
	if p.running < plainSlots {
		run()
		return
	}
	p.queue = append(p.queue, run)
}
