package main

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/certificate"
)

const (
	operatorKey = "operator-key-of-the-test"
	callerKey   = "caller-key-of-the-test"
	bound       = 2 * time.Minute // of each wait; generous, because the machine may be busy
)

// instanceProcess is a running router.
type instanceProcess struct {
	*proc
	id, callers, operators string
}

// proc is a process that the test ends by its own handle.
type proc struct {
	cmd  *exec.Cmd
	done chan struct{}
	log  *buffer
}

// buffer keeps what a process wrote.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// world holds what the processes of a test share.
type world struct {
	t    *testing.T
	dir  string
	bin  string
	list []string // entries of the platform's list
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, dir: t.TempDir()}
	w.bin = filepath.Join(w.dir, "cassiaspoke")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", w.bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	w.write("operator.key", operatorKey)
	w.write("session.secret", strings.Repeat("s", 32))
	w.certificates()
	return w
}

func (w *world) write(name, text string) string {
	w.t.Helper()
	file := filepath.Join(w.dir, name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	return file
}

// start runs the program until the test ends.
func (w *world) start(args ...string) *proc {
	w.t.Helper()
	p := &proc{cmd: exec.Command(w.bin, args...), done: make(chan struct{}), log: &buffer{}}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		w.t.Fatal(err)
	}
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait()
	}()
	w.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		if w.t.Failed() {
			s := p.log.String()
			w.t.Logf("%s: ... %s", strings.Join(args, " "), s[max(0, len(s)-2000):])
		}
	})
	return p
}

// exit waits for the end of a process and returns its exit code.
func (w *world) exit(p *proc) int {
	w.t.Helper()
	select {
	case <-p.done:
	case <-time.After(bound):
		w.t.Fatal("the process does not end")
	}
	return p.cmd.ProcessState.ExitCode()
}

// run runs a command line against an instance's operators' API and returns its output.
func (w *world) run(i *instanceProcess, args ...string) string {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(w.t.Context(), bound)
	defer cancel()
	c := exec.CommandContext(ctx, w.bin, append([]string{"--operator", i.operators, "--key-file", filepath.Join(w.dir, "operator.key")}, args...)...)
	var errs bytes.Buffer
	c.Stderr = &errs
	out, err := c.Output()
	if err != nil {
		w.t.Fatalf("%s: %v: %s", strings.Join(args, " "), err, errs.String())
	}
	return string(out)
}

// await waits until a condition holds.
func (w *world) await(what string, holds func() bool) {
	w.t.Helper()
	for end := time.Now().Add(bound); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("%s: not within %v", what, bound)
		}
	}
}

func (w *world) address() string {
	w.t.Helper()
	l, err := (&net.ListenConfig{}).Listen(w.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// serve starts a router; adjust changes its settings.
func (w *world) serve(id, zone, platform, peers string, adjust map[string]any) *instanceProcess {
	w.t.Helper()
	i := &instanceProcess{id: id}
	callers, operators := w.address(), w.address()
	i.callers, i.operators = "http://"+callers, "http://"+operators
	s := map[string]any{
		"instance":  map[string]any{"id": id, "availability-zone": zone, "region": "r"},
		"callers":   map[string]any{"listen": callers, "limits": map[string]any{"request-timeout": "2m"}},
		"operators": map[string]any{"listen": operators, "keys": []any{map[string]any{"name": "ida", "hash": certificate.HashKey(operatorKey)}}},
		"peers": map[string]any{"listen": peers, "tls": map[string]any{
			"certificate": "peer.crt", "key": "peer.key", "client-ca": "ca.crt",
		}},
		"platform":  map[string]any{"log": platform, "rating": platform, "weights": platform, "instances": platform},
		"sessions":  map[string]any{"keys": []any{map[string]any{"id": "k1", "secret-file": "session.secret"}}},
		"services":  []any{map[string]any{"name": "booking", "price": 500}},
		"endpoints": map[string]any{"list-interval": "200ms"},
		"stop":      map[string]any{"balancer-wait": "300ms", "drain-timeout": "2m"},
		"events":    map[string]any{"file": id + ".jsonl"},
	}
	for k, v := range adjust {
		s[k] = v
	}
	b, err := json.Marshal(s)
	if err != nil {
		w.t.Fatal(err)
	}
	i.proc = w.start("serve", "--settings", w.write(id+".json", string(b)))
	return i
}

func (w *world) ready(i *instanceProcess) bool {
	res, err := http.Get(i.callers + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// certificates writes an authority and a certificate that all instances use as server and as client.
func (w *world) certificates() {
	w.t.Helper()
	pair := func(serial int64, c *x509.Certificate, parent *x509.Certificate, signer *ecdsa.PrivateKey) *ecdsa.PrivateKey {
		k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			w.t.Fatal(err)
		}
		c.SerialNumber, c.NotBefore, c.NotAfter = big.NewInt(serial), time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
		if signer == nil {
			signer = k
		}
		if c.Raw, err = x509.CreateCertificate(rand.Reader, c, parent, &k.PublicKey, signer); err != nil {
			w.t.Fatal(err)
		}
		return k
	}
	ca := &x509.Certificate{Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	signer := pair(1, ca, ca, nil)
	leaf := &x509.Certificate{
		Subject: pkix.Name{CommonName: "peer"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	key := pair(2, leaf, ca, signer)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		w.t.Fatal(err)
	}
	for name, b := range map[string]*pem.Block{
		"ca.crt": {Type: "CERTIFICATE", Bytes: ca.Raw}, "peer.crt": {Type: "CERTIFICATE", Bytes: leaf.Raw},
		"peer.key": {Type: "PRIVATE KEY", Bytes: der},
	} {
		w.write(name, string(pem.EncodeToMemory(b)))
	}
}

// listed adds an entry to the platform's list and returns its address.
func (w *world) listed(role, id, zone, service string) string {
	a := w.address()
	e := fmt.Sprintf("%s/%s/%s/%s", role, id, zone, a)
	if service != "" {
		e += "/" + service
	}
	w.list = append(w.list, e)
	return a
}
