// Package viewer reads the platform's store for operators: the configuration, the
// registered targets and daemons, the budget of a program, and a turn with its chain. It
// only reads, and works while no daemon runs.
//
// # Usage
//
//	v := viewer.New(store, catalog)
//	table, err := v.Targets(ctx)
//	err = table.Write(os.Stdout)
package viewer
