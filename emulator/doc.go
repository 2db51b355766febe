// Package emulator provides in-memory stand-ins for the platform with fault injection:
// the table service, the row store, the object store, the host list, model engines, the
// weight store and plain services.
//
// # Usage
//
// Every stand-in has fault switches that can be changed while it runs. In-process tests
// use the stand-ins directly. The tables and objects are used on behalf of a named caller,
// so that a single caller can be isolated from them:
//
//	tables := emulator.NewTableStore(emulator.TableStoreOptions{}, emulator.NewFaults(1))
//	daemon := controller.New(settings, platform(tables.ForCaller("ams-1")))
//	tables.Faults().SetResponseLoss(0.1)
//	tables.Faults().SetIsolated("ams-1", true)
//
// NewStoreServer serves tables and objects over HTTP; package connector has the clients.
// A client sends its caller's name in the header CallerHeader.
package emulator
