package limiter

import "github.com/dogwoodweir/dogwoodweir/ranker"

// rankHosts returns the first n hosts in rendezvous order.
func rankHosts(key string, hosts []string, n int) []string {
	return ranker.OrderNames(key, hosts)[:min(n, len(hosts))]
}
