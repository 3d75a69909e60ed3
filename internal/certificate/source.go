package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/settings"
)

// CheckInterval is how often, at most, handshakes look for changed files.
const CheckInterval = 10 * time.Second

// Source holds the certificate and the authorities of a listener or of the calls to peers.
type Source struct {
	files  settings.TLS
	now    func() time.Time
	report func(error)

	mu      sync.Mutex
	checked time.Time
	loaded  pair
}

// pair is what the files held when they were last read with success.
type pair struct {
	stamps [3]stamp
	cert   tls.Certificate
	pool   *x509.CertPool // nil without a client-ca
}

// stamp tells whether a file has changed.
type stamp struct {
	time time.Time
	size int64
}

// New reads the files; report gets the errors of later reads, after which the old certificate stays in use.
func New(t settings.TLS, now func() time.Time, report func(error)) (*Source, error) {
	s := &Source{files: t, now: now, report: report, checked: now()}
	stamps, err := s.stat()
	if err != nil {
		return nil, err
	}
	s.loaded, err = s.load(stamps)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Server returns the configuration of a listener; it requires client certificates if the settings name a client-ca.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			p := s.current()
			c := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{p.cert},
				NextProtos:   []string{"h2", "http/1.1"},
			}
			if p.pool != nil {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, p.pool
			}
			return c, nil
		},
	}
}

// Client returns the configuration for calls to the peer at host, an IP address that the peer's certificate must name.
func (s *Source) Client(host string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			p := s.current()
			return &p.cert, nil
		},
		// RootCAs can't be replaced in a configuration that is in use, so VerifyConnection makes the usual
		// check against the authorities of the moment.
		InsecureSkipVerify: true,
		VerifyConnection: func(c tls.ConnectionState) error {
			return verify(c.PeerCertificates, s.current().pool, host)
		},
	}
}

// Peers returns the configuration for both sides of the connections between instances. Every holder of a certificate
// of the client-ca is a peer, so the name in the certificate is not checked.
func (s *Source) Peers() *tls.Config {
	c := s.Server()
	d := s.Client("")
	c.NextProtos, c.GetClientCertificate = d.NextProtos, d.GetClientCertificate
	c.InsecureSkipVerify, c.VerifyConnection = true, d.VerifyConnection
	return c
}

// current returns the loaded files, after a look for changes if the last one is CheckInterval ago.
func (s *Source) current() pair {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.checked) < CheckInterval {
		return s.loaded
	}
	s.checked = now
	stamps, err := s.stat()
	if err == nil && stamps != s.loaded.stamps {
		var p pair
		if p, err = s.load(stamps); err == nil {
			s.loaded = p
		}
	}
	if err != nil {
		s.report(err)
	}
	return s.loaded
}

func (s *Source) stat() ([3]stamp, error) {
	var l [3]stamp
	for i, f := range []settings.Path{s.files.Certificate, s.files.Key, s.files.ClientCA} {
		if f == "" {
			continue
		}
		info, err := os.Stat(string(f))
		if err != nil {
			return l, &Error{Op: "load", Kind: ErrFile, Err: err}
		}
		l[i] = stamp{info.ModTime(), info.Size()}
	}
	return l, nil
}

func (s *Source) load(stamps [3]stamp) (pair, error) {
	p := pair{stamps: stamps}
	var err error
	p.cert, err = tls.LoadX509KeyPair(string(s.files.Certificate), string(s.files.Key))
	if err != nil {
		return p, &Error{Op: "load", Kind: ErrInvalid, Err: err}
	}
	if s.files.ClientCA == "" {
		return p, nil
	}
	b, err := os.ReadFile(string(s.files.ClientCA))
	if err != nil {
		return p, &Error{Op: "load", Kind: ErrFile, Err: err}
	}
	p.pool = x509.NewCertPool()
	if !p.pool.AppendCertsFromPEM(b) {
		return p, &Error{Op: "load", Kind: ErrInvalid, Err: errors.New("client-ca has no certificate")}
	}
	return p, nil
}

func verify(chain []*x509.Certificate, pool *x509.CertPool, host string) error {
	if len(chain) == 0 || pool == nil {
		return &Error{Op: "verify", Kind: ErrInvalid, Err: errors.New("no certificate or no authority to verify it")}
	}
	o := x509.VerifyOptions{Roots: pool, DNSName: host, Intermediates: x509.NewCertPool()}
	for _, c := range chain[1:] {
		o.Intermediates.AddCert(c)
	}
	if _, err := chain[0].Verify(o); err != nil {
		return &Error{Op: "verify", Kind: ErrInvalid, Err: err}
	}
	return nil
}
