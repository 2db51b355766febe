// Package connector provides the HTTP clients of the platform's services and of targets.
// Its types implement the interfaces of package provider.
//
// # Usage
//
//	tables := connector.NewTableStore(connector.StoreOptions{URL: url, Token: token, Caller: host})
//	result, err := tables.Commit(ctx, transaction)
//
// Every request has a time-out. A request whose outcome is not known fails with
// provider.KindUnknown, one that was certainly not sent with provider.KindUnavailable.
// Reads from the stores are repeated once on a new connection, because an established
// connection can be stalled while new ones work.
package connector
