// Package connector provides the HTTP clients of the platform and of targets. Its
// types implement the interfaces of package provider.
//
// # Usage
//
//	tables := connector.NewTables(connector.StoreOptions{URL: url, Token: token, Caller: host})
//	result, err := tables.Commit(ctx, transaction)
//
// Every request has a bound on silence. A request whose outcome is not known fails
// with provider.KindUnknown; one that was certainly not sent fails with
// provider.KindUnavailable. Requests without effect are repeated once on a new
// connection, because an established connection can be silent while new ones work.
package connector
