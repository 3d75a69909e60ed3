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

// CheckInterval is the minimum time between two checks for changed files. Handshakes trigger the checks.
const CheckInterval = 10 * time.Second

// Reloader provides TLS configurations with the current contents of a certificate file, a key file and a file of client
// authorities.
type Reloader struct {
	files   settings.TLS
	now     func() time.Time
	onError func(error) // called with the errors of reloads

	mu      sync.Mutex
	checked time.Time // when the files were last checked for changes
	loaded  credentials
}

// credentials holds the contents of the files when they were last read successfully.
type credentials struct {
	stats       [3]fileStat
	cert        tls.Certificate
	authorities *x509.CertPool // nil if the settings have no client-ca
}

// fileStat holds the modification time and the size of a file. If neither differs, the file is taken as unchanged.
type fileStat struct {
	modified time.Time
	size     int64
}

// NewReloader returns a Reloader after reading the files. If they can't be read later, it calls onError and
// continues to use the old contents.
func NewReloader(files settings.TLS, now func() time.Time, onError func(error)) (*Reloader, error) {
	s := &Reloader{files: files, now: now, onError: onError, checked: now()}
	stats, err := s.statFiles()
	if err != nil {
		return nil, err
	}
	s.loaded, err = s.load(stats)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// ServerConfig returns the configuration of a listener. It requires client certificates if the settings have a client-ca.
func (r *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cred := r.current()
			c := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{cred.cert},
				NextProtos:   []string{"h2", "http/1.1"},
			}
			if cred.authorities != nil {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, cred.authorities
			}
			return c, nil
		},
	}
}

// ClientConfig returns the configuration for calls to the peer at host. The peer's certificate must be valid for that
// IP address.
func (r *Reloader) ClientConfig(host string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cred := r.current()
			return &cred.cert, nil
		},
		// RootCAs can't be replaced in a configuration that is in use. So the usual verification is turned off, and
		// VerifyConnection does the same with the current authorities.
		InsecureSkipVerify: true,
		VerifyConnection: func(c tls.ConnectionState) error {
			return verifyChain(c.PeerCertificates, r.current().authorities, host)
		},
	}
}

// PeerConfig returns the configuration for both sides of the connections between instances. Every holder of a certificate
// issued by the client-ca is a peer, so the name in the certificate is not verified.
func (r *Reloader) PeerConfig() *tls.Config {
	c := r.ServerConfig()
	client := r.ClientConfig("")
	c.NextProtos, c.GetClientCertificate = client.NextProtos, client.GetClientCertificate
	c.InsecureSkipVerify, c.VerifyConnection = true, client.VerifyConnection
	return c
}

// current returns the credentials in use. If the last check is at least CheckInterval ago, it first reloads the files
// if they have changed.
func (r *Reloader) current() credentials {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if now.Sub(r.checked) < CheckInterval {
		return r.loaded
	}
	r.checked = now
	stats, err := r.statFiles()
	if err == nil && stats != r.loaded.stats {
		var c credentials
		if c, err = r.load(stats); err == nil {
			r.loaded = c
		}
	}
	if err != nil {
		r.onError(err)
	}
	return r.loaded
}

// statFiles returns the modification times and sizes of the certificate, the key and the client-ca. They are zero for a
// file that the settings don't name.
func (r *Reloader) statFiles() ([3]fileStat, error) {
	var stats [3]fileStat
	for i, f := range []settings.Path{r.files.Certificate, r.files.Key, r.files.ClientCA} {
		if f == "" {
			continue
		}
		info, err := os.Stat(string(f))
		if err != nil {
			return stats, &Error{Op: "load", Kind: ErrFile, Err: err}
		}
		stats[i] = fileStat{info.ModTime(), info.Size()}
	}
	return stats, nil
}

// load reads and parses the files.
func (r *Reloader) load(stats [3]fileStat) (credentials, error) {
	c := credentials{stats: stats}
	var err error
	c.cert, err = tls.LoadX509KeyPair(string(r.files.Certificate), string(r.files.Key))
	if err != nil {
		return c, &Error{Op: "load", Kind: ErrInvalid, Err: err}
	}
	if r.files.ClientCA == "" {
		return c, nil
	}
	b, err := os.ReadFile(string(r.files.ClientCA))
	if err != nil {
		return c, &Error{Op: "load", Kind: ErrFile, Err: err}
	}
	c.authorities = x509.NewCertPool()
	if !c.authorities.AppendCertsFromPEM(b) {
		return c, &Error{Op: "load", Kind: ErrInvalid, Err: errors.New("client-ca contains no certificate")}
	}
	return c, nil
}

// verifyChain verifies the certificates of a peer against the authorities, and for host unless that is empty.
func verifyChain(chain []*x509.Certificate, authorities *x509.CertPool, host string) error {
	if len(chain) == 0 || authorities == nil {
		return &Error{Op: "verify", Kind: ErrInvalid, Err: errors.New("no certificate or no authority to verify it")}
	}
	options := x509.VerifyOptions{Roots: authorities, DNSName: host, Intermediates: x509.NewCertPool()}
	for _, c := range chain[1:] {
		options.Intermediates.AddCert(c)
	}
	if _, err := chain[0].Verify(options); err != nil {
		return &Error{Op: "verify", Kind: ErrInvalid, Err: err}
	}
	return nil
}
