package certificate_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/certificate"
	"github.com/cassiaspoke/cassiaspoke/internal/settings"
)

// authority is a certificate authority that writes the certificates it issues into a directory.
type authority struct {
	t    *testing.T
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

// newAuthority returns an authority with a self-signed certificate in ca.crt.
func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	a.key, a.cert = a.issue("ca", 1, nil)
	return a
}

// issue writes a certificate for 127.0.0.1 to NAME.crt and its key to NAME.key. A higher serial number gives the files
// a later modification time. Without a parent, the certificate is self-signed.
func (a *authority) issue(name string, serial int64, parent *x509.Certificate) (*ecdsa.PrivateKey, *x509.Certificate) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	requireNoError(a.t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(serial), IsCA: parent == nil, BasicConstraintsValid: true,
		NotBefore: time.Unix(0, 0), NotAfter: time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	signer := a.key
	if parent == nil {
		parent, signer = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, signer)
	requireNoError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	requireNoError(a.t, err)
	a.writePEM(name+".crt", "CERTIFICATE", der, serial)
	a.writePEM(name+".key", "EC PRIVATE KEY", keyDER, serial)
	c, err = x509.ParseCertificate(der)
	requireNoError(a.t, err)
	return key, c
}

// writePEM writes a PEM file with a modification time that depends on the serial number.
func (a *authority) writePEM(name, kind string, b []byte, serial int64) {
	a.t.Helper()
	f := filepath.Join(a.dir, name)
	requireNoError(a.t, os.WriteFile(f, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600))
	requireNoError(a.t, os.Chtimes(f, time.Unix(serial, 0), time.Unix(serial, 0)))
}

// files returns the TLS settings for the certificate with a name.
func (a *authority) files(name string) settings.TLS {
	p := func(f string) settings.Path { return settings.Path(filepath.Join(a.dir, f)) }
	return settings.TLS{Certificate: p(name + ".crt"), Key: p(name + ".key"), ClientCA: p("ca.crt")}
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// handshake connects a client to a server. It returns the serial number of the server's certificate, and the client's
// error or else the server's.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	requireNoError(t, err)
	defer l.Close()
	serverDone := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			serverDone <- err
			return
		}
		serverDone <- c.(*tls.Conn).Handshake()
		c.Close()
	}()
	c, err := tls.Dial("tcp", l.Addr().String(), client)
	serverErr := <-serverDone
	if err != nil {
		return 0, err
	}
	defer c.Close()
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), serverErr
}

// Guards against a new certificate that takes effect only after a restart, and against an incomplete or missing file
// that makes handshakes fail.
func TestReload(t *testing.T) {
	a := newAuthority(t)
	now := time.Unix(100, 0)
	clock := func() time.Time { return now }
	a.issue("peer", 2, a.cert)
	var reports []error
	s, err := certificate.NewReloader(a.files("peer"), clock, func(err error) { reports = append(reports, err) })
	requireNoError(t, err)
	steps := []struct {
		name    string
		change  func()
		advance time.Duration
		serial  int64
		reports int
	}{
		{"unchanged", func() {}, time.Hour, 2, 0},
		{"changed, not yet checked", func() { a.issue("peer", 3, a.cert) }, time.Second, 2, 0},
		{"checked", func() {}, certificate.CheckInterval, 3, 0},
		{"half-written", func() { a.writePEM("peer.key", "EC PRIVATE KEY", []byte("x"), 4) }, certificate.CheckInterval, 3, 1},
		{"written whole", func() { a.issue("peer", 5, a.cert) }, certificate.CheckInterval, 5, 1},
		{"removed", func() { requireNoError(t, os.Remove(filepath.Join(a.dir, "peer.key"))) }, certificate.CheckInterval, 5, 2},
	}
	for _, step := range steps {
		step.change()
		now = now.Add(step.advance)
		n, err := handshake(t, s.ServerConfig(), s.ClientConfig("127.0.0.1"))
		if err != nil || n != step.serial || len(reports) != step.reports {
			t.Errorf("%s: serial number %d, error %v, reports %v", step.name, n, err, reports)
		}
	}
}

// Guards against a peer that is accepted although its certificate was not issued by the authority of the instances.
func TestMutualVerification(t *testing.T) {
	own, other := newAuthority(t), newAuthority(t)
	own.issue("peer", 2, own.cert)
	other.issue("peer", 3, other.cert)
	load := func(f settings.TLS) *certificate.Reloader {
		s, err := certificate.NewReloader(f, func() time.Time { return time.Unix(100, 0) }, func(err error) { t.Error(err) })
		requireNoError(t, err)
		return s
	}
	s, foreign := load(own.files("peer")), load(other.files("peer"))
	mixed := own.files("peer")
	mixed.Certificate, mixed.Key = other.files("peer").Certificate, other.files("peer").Key
	tests := map[string]struct {
		server, client *tls.Config
		ok             bool
	}{
		"same authority":             {s.ServerConfig(), s.ClientConfig("127.0.0.1"), true},
		"foreign server":             {foreign.ServerConfig(), s.ClientConfig("127.0.0.1"), false},
		"foreign client":             {s.ServerConfig(), load(mixed).ClientConfig("127.0.0.1"), false},
		"client without certificate": {s.ServerConfig(), &tls.Config{InsecureSkipVerify: true}, false},
		"address of another peer":    {s.ServerConfig(), s.ClientConfig("127.0.0.2"), false},
		"peers":                      {s.PeerConfig(), s.PeerConfig(), true},
		"foreign peer calls":         {s.PeerConfig(), foreign.PeerConfig(), false},
		"mixed peer calls":           {s.PeerConfig(), load(mixed).PeerConfig(), false},
		"mixed peer serves":          {load(mixed).PeerConfig(), s.PeerConfig(), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := handshake(t, test.server, test.client); (err == nil) != test.ok {
				t.Errorf("got error %v", err)
			}
		})
	}
}
