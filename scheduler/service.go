package scheduler

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/encoder"
	"github.com/dogwoodweir/dogwoodweir/parser"
	"github.com/dogwoodweir/dogwoodweir/router"
)

// ServiceFromConfig converts a service of the published configuration. Missing values
// get their defaults.
func ServiceFromConfig(s encoder.Service) Service {
	parser.FillDefaults(&s)
	return Service{
		Name: s.Name, Plain: s.Kind == parser.KindPlain, MaxConcurrency: s.Limits.MaxConcurrency,
		MaxQueue: s.Limits.MaxQueue, RequestsPerSec: s.Limits.RequestsPerSec, RetryRatio: s.Limits.RetryRatio,
		CallTimeout: time.Duration(s.Timeouts.CallMs) * time.Millisecond,
		Weights:     router.Weights{Cache: s.Weights.Cache, Link: s.Weights.Link},
	}
}
