package controller

import (
	"time"

	"github.com/dogwoodweir/dogwoodweir/connector"
	"github.com/dogwoodweir/dogwoodweir/messenger"
	"github.com/dogwoodweir/dogwoodweir/parser"
	"github.com/dogwoodweir/dogwoodweir/provider"
)

// Platform has the interfaces through which a daemon meets its platform.
type Platform struct {
	Tables  provider.TableStore
	Objects provider.ObjectStore
	Hosts   provider.HostLister
	// Engine and Service return the target at an address; they open no connection.
	Engine  func(address string) provider.Engine
	Service func(address string) provider.Service
	Clock   provider.Clock
	// Dial opens connections to other daemons; nil means TCP.
	Dial messenger.Dialer
}

type systemClock struct{}

// Now returns the time; it carries a monotonic reading.
func (systemClock) Now() time.Time { return time.Now() }

// NewPlatform returns HTTP clients for the platform of the settings.
func NewPlatform(settings parser.Settings) Platform {
	store := func(url string) connector.StoreOptions {
		return connector.StoreOptions{URL: url, Token: settings.Platform.Token, Caller: settings.Host}
	}
	client := connector.NewClient(connector.Options{Token: settings.Platform.Token})
	return Platform{
		Tables:  connector.NewTableStore(store(settings.Platform.Tables)),
		Objects: connector.NewObjectStore(store(settings.Platform.Objects)),
		Hosts:   connector.NewHostList(client, settings.Platform.HostList),
		Engine:  func(address string) provider.Engine { return connector.NewEngine(client, address) },
		Service: func(address string) provider.Service { return connector.NewService(client, address) },
		Clock:   systemClock{},
	}
}
