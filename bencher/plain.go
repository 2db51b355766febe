package bencher

import "time"

// plainConcurrency is the number of calls that one instance runs at the same time.
const plainConcurrency = 8

// plainInstance is a fake instance of a plain service. It serves calls in order of
// arrival.
type plainInstance struct {
	simulation *simulation
	name       string
	domain     int
	running    int
	silent     bool
	queue      []func()
}

// submit runs a call, or queues it while all slots are taken, and calls done at its end.
func (p *plainInstance) submit(service time.Duration, done func()) {
	run := func() {
		p.running++
		p.simulation.after(service, func() {
			p.running--
			done()
			if len(p.queue) > 0 {
				next := p.queue[0]
				p.queue = p.queue[1:]
				next()
			}
		})
	}
	if p.running < plainConcurrency {
		run()
		return
	}
	p.queue = append(p.queue, run)
}
