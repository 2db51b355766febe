package admitter

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/time/rate"
)

// maxClients bounds the number of clients whose rate is tracked.
const maxClients = 4_096

// ClientRateLimiter limits the calls per second of each client.
type ClientRateLimiter struct {
	perSec  float64
	clients *lru.LRU[string, *rate.Limiter]
}

// NewClientRateLimiter returns a limiter for perSec calls per second and client, with a burst
// of two seconds. 0 means no limit.
func NewClientRateLimiter(perSec float64) *ClientRateLimiter {
	r := &ClientRateLimiter{perSec: perSec}
	// NewLRU fails only for sizes below 1.
	r.clients, _ = lru.NewLRU[string, *rate.Limiter](maxClients, nil)
	return r
}

// Allow reports whether the client may send a call now, and counts the call if so. Otherwise
// it returns the time after which a call is allowed.
func (r *ClientRateLimiter) Allow(now time.Time, client string) (time.Duration, bool) {
	if r.perSec <= 0 {
		return 0, true
	}
	limiter, ok := r.clients.Get(client)
	if !ok {
		limiter = rate.NewLimiter(rate.Limit(r.perSec), max(1, int(2*r.perSec)))
		r.clients.Add(client, limiter)
	}
	if limiter.AllowN(now, 1) {
		return 0, true
	}
	reservation := limiter.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	reservation.CancelAt(now)
	return wait, false
}
