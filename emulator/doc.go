// Package emulator provides small stand-ins for the platform, each with fault
// injection: the table service, the object store, the host list, model engines,
// the weight store and plain services.
//
// # Usage
//
// Every stand-in has a Faults value with its fault switches. In-process tests use
// the stand-ins directly, on behalf of a named caller so that one caller can be
// cut off:
//
//	tables := emulator.NewTables(emulator.TablesOptions{}, emulator.NewFaults(1))
//	daemon := controller.New(settings, platform(tables.For("ams-1")))
//	tables.Faults().SetLoseAnswers(0.1)
//	tables.Faults().SetCut("ams-1", true)
//
// Over HTTP, NewStoreServer serves tables and objects; package connector has the
// clients. The caller's name travels in the header named by CallerHeader.
package emulator
