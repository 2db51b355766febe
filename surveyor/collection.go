package surveyor

import "time"

// report is the last report of a daemon.
type report struct {
	at   time.Time
	load load
}

// collection holds the last reports of daemons and their sum.
type collection struct {
	reports map[string]report
	total   load
}

func newCollection() *collection { return &collection{reports: map[string]report{}, total: load{}} }

// put replaces the report of a daemon.
func (c *collection) put(now time.Time, host string, l load) {
	c.remove(host)
	c.reports[host] = report{at: now, load: l}
	for key, calls := range l {
		c.total[key] += calls
	}
}

func (c *collection) remove(host string) {
	for key, calls := range c.reports[host].load {
		if c.total[key] -= calls; c.total[key] == 0 {
			delete(c.total, key)
		}
	}
	delete(c.reports, host)
}

// expire removes the reports that are as old as maxAge.
func (c *collection) expire(now time.Time, maxAge time.Duration) {
	for host, r := range c.reports {
		if now.Sub(r.at) >= maxAge {
			c.remove(host)
		}
	}
}

// sumWithout returns the sum of all reports but that of the given daemon, their number and their mean age.
func (c *collection) sumWithout(now time.Time, host string) (sum load, reports int, age time.Duration) {
	excluded := c.reports[host].load
	sum = make(load, len(c.total))
	for key, calls := range c.total {
		if others := calls - excluded[key]; others > 0 {
			sum[key] = others
		}
	}
	for other, r := range c.reports {
		if other != host {
			reports++
			age += now.Sub(r.at)
		}
	}
	return sum, reports, age / time.Duration(max(1, reports))
}
