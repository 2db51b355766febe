// Package registrar lists the daemons in the platform's store, so that they find each
// other. The list is a hint: a listed daemon may no longer run.
//
// # Usage
//
//	r := registrar.New(store, registrar.Entry{...}, logger)
//	go r.Run(ctx)      // registers, renews and reads the list
//	peers := r.Peers() // the other daemons, nearest first
package registrar
