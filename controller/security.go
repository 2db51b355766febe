package controller

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"

	"github.com/dogwoodweir/dogwoodweir/parser"
)

// peerTLS reads the certificates by which daemons authenticate each other; nil when
// the settings name none.
func peerTLS(settings parser.Settings) (*tls.Config, error) {
	if settings.TLS == nil {
		return nil, nil
	}
	fail := func(err error) error { return &Error{operation: "daemon.tls", kind: KindSettings, cause: err} }
	certificate, err := tls.LoadX509KeyPair(settings.TLS.Certificate, settings.TLS.Key)
	if err != nil {
		return nil, fail(err)
	}
	data, err := os.ReadFile(settings.TLS.Authority)
	if err != nil {
		return nil, fail(err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(data) {
		return nil, fail(eris.New("the authority's file has no certificate"))
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate}, RootCAs: authorities, ClientCAs: authorities, MinVersion: tls.VersionTLS13,
	}, nil
}
