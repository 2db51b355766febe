package measurer

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// HostListSample is the cost of reading the whole host list once.
type HostListSample struct {
	Members      int     `json:"members"`
	Bytes        int     `json:"bytes"`
	DecodeMicros float64 `json:"decodeMicros"`
}

// MeasureHostLists measures lists with 17 members for each daemon: the daemon itself and
// 16 targets.
func MeasureHostLists(hosts []int) ([]HostListSample, error) {
	var out []HostListSample
	for _, n := range hosts {
		var members []provider.Member
		for i := range 17 * n {
			role := "drafter"
			if i%17 == 0 {
				role = "daemon"
			}
			members = append(members, provider.Member{
				Host: fmt.Sprintf("runner-%04d", i), Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
				FailureDomain: fmt.Sprintf("domain-%d", i%5), Region: fmt.Sprintf("region-%d", i%2), Role: role,
			})
		}
		data, err := json.Marshal(members)
		if err != nil {
			return nil, err
		}
		const rounds = 20
		started := time.Now()
		for range rounds {
			var decoded []provider.Member
			if err := json.Unmarshal(data, &decoded); err != nil {
				return nil, err
			}
		}
		out = append(out, HostListSample{Members: len(members), Bytes: len(data), DecodeMicros: float64(time.Since(started).Microseconds()) / rounds})
	}
	return out, nil
}
