package assembler

import (
	"github.com/dogwoodweir/dogwoodweir/follower"
	"github.com/dogwoodweir/dogwoodweir/limiter"
)

// quotas returns the quotas of the workspaces of a configuration.
func quotas(c *follower.Configuration) []limiter.Quota {
	var all []limiter.Quota
	for _, w := range c.Workspaces() {
		if w.Limited() {
			all = append(all, limiter.Quota{Workspace: w.Name, RatePerSecond: w.RatePerSecond, Burst: w.Burst})
		}
	}
	return all
}

// countRegions returns the number of regions, at least 1.
func countRegions(s Settings) int {
	regions := map[string]bool{s.Region: true}
	for _, region := range s.RegionByDomain {
		regions[region] = true
	}
	return len(regions)
}
