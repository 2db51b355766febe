package follower

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Catalog decodes the rows that operators and targets write.
type Catalog interface {
	ConfigurationTable() string
	TargetTable() string
	IsConfiguration(row *provider.VersionedRow) bool
	Configuration(value []byte) (*Configuration, error)
	Target(now time.Time, id string, value []byte) (Target, error)
}
