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
	waitLimit   = 2 * time.Minute // for each condition; long enough for a busy host
)

// instanceProcess is a running instance of the serve command.
type instanceProcess struct {
	*process
	id, callers, operators string // callers and operators are URLs
}

// process is a child process of a test.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	log  *logBuffer
}

// logBuffer collects the output of a process.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// testEnv holds the directory, binary and instance list that the processes of a test share.
type testEnv struct {
	t            *testing.T
	dir          string
	bin          string
	instanceList []string // entries for the platform stand-in
}

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	env := &testEnv{t: t, dir: t.TempDir()}
	env.bin = filepath.Join(env.dir, "cassiaspoke")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", env.bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	env.writeFile("operator.key", operatorKey)
	env.writeFile("session.secret", strings.Repeat("s", 32))
	env.writeCertificates()
	return env
}

// writeFile writes a file to the directory of the test and returns its path.
func (env *testEnv) writeFile(name, text string) string {
	env.t.Helper()
	file := filepath.Join(env.dir, name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		env.t.Fatal(err)
	}
	return file
}

// start starts the program with the arguments; the process is killed when the test ends.
func (env *testEnv) start(args ...string) *process {
	env.t.Helper()
	p := &process{cmd: exec.Command(env.bin, args...), done: make(chan struct{}), log: &logBuffer{}}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		env.t.Fatal(err)
	}
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait()
	}()
	env.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		if env.t.Failed() {
			s := p.log.String()
			env.t.Logf("%s: ... %s", strings.Join(args, " "), s[max(0, len(s)-2000):])
		}
	})
	return p
}

// waitForExit waits until a process exits and returns its exit code.
func (env *testEnv) waitForExit(p *process) int {
	env.t.Helper()
	select {
	case <-p.done:
	case <-time.After(waitLimit):
		env.t.Fatal("the process did not exit")
	}
	return p.cmd.ProcessState.ExitCode()
}

// runCommand runs a command against the operators' API of an instance and returns its output.
func (env *testEnv) runCommand(i *instanceProcess, args ...string) string {
	env.t.Helper()
	ctx, cancel := context.WithTimeout(env.t.Context(), waitLimit)
	defer cancel()
	c := exec.CommandContext(ctx, env.bin, append([]string{"--operator", i.operators, "--key-file", filepath.Join(env.dir, "operator.key")}, args...)...)
	var errs bytes.Buffer
	c.Stderr = &errs
	out, err := c.Output()
	if err != nil {
		env.t.Fatalf("%s: %v: %s", strings.Join(args, " "), err, errs.String())
	}
	return string(out)
}

// waitFor waits until a condition holds.
func (env *testEnv) waitFor(condition string, holds func() bool) {
	env.t.Helper()
	for deadline := time.Now().Add(waitLimit); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			env.t.Fatalf("%s: condition does not hold after %v", condition, waitLimit)
		}
	}
}

// freeAddress returns a loopback address with an unused port.
func (env *testEnv) freeAddress() string {
	env.t.Helper()
	l, err := (&net.ListenConfig{}).Listen(env.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		env.t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startInstance starts an instance of the serve command; overrides replaces top-level settings.
func (env *testEnv) startInstance(id, zone, platform, peers string, overrides map[string]any) *instanceProcess {
	env.t.Helper()
	i := &instanceProcess{id: id}
	callers, operators := env.freeAddress(), env.freeAddress()
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
	for k, v := range overrides {
		s[k] = v
	}
	b, err := json.Marshal(s)
	if err != nil {
		env.t.Fatal(err)
	}
	i.process = env.start("serve", "--settings", env.writeFile(id+".json", string(b)))
	return i
}

// ready reports whether the readiness check of an instance succeeds.
func (env *testEnv) ready(i *instanceProcess) bool {
	res, err := http.Get(i.callers + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// writeCertificates writes a certificate authority and a certificate that all instances use as server and as client.
func (env *testEnv) writeCertificates() {
	env.t.Helper()
	newCertificate := func(serial int64, c *x509.Certificate, parent *x509.Certificate, signer *ecdsa.PrivateKey) *ecdsa.PrivateKey {
		k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			env.t.Fatal(err)
		}
		c.SerialNumber, c.NotBefore, c.NotAfter = big.NewInt(serial), time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
		if signer == nil {
			signer = k
		}
		if c.Raw, err = x509.CreateCertificate(rand.Reader, c, parent, &k.PublicKey, signer); err != nil {
			env.t.Fatal(err)
		}
		return k
	}
	ca := &x509.Certificate{Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	signer := newCertificate(1, ca, ca, nil)
	leaf := &x509.Certificate{
		Subject: pkix.Name{CommonName: "peer"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	key := newCertificate(2, leaf, ca, signer)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		env.t.Fatal(err)
	}
	for name, b := range map[string]*pem.Block{
		"ca.crt": {Type: "CERTIFICATE", Bytes: ca.Raw}, "peer.crt": {Type: "CERTIFICATE", Bytes: leaf.Raw},
		"peer.key": {Type: "PRIVATE KEY", Bytes: der},
	} {
		env.writeFile(name, string(pem.EncodeToMemory(b)))
	}
}

// addInstance adds an entry with a free address to the instance list and returns the address.
func (env *testEnv) addInstance(role, id, zone, service string) string {
	a := env.freeAddress()
	e := fmt.Sprintf("%s/%s/%s/%s", role, id, zone, a)
	if service != "" {
		e += "/" + service
	}
	env.instanceList = append(env.instanceList, e)
	return a
}
