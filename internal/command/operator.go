package command

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

// defaultTimeout covers the bounded wait for the log and the time until the change is read back.
const defaultTimeout = 30 * time.Second

// newOperatorClient returns a client of the operators' API with the URL, key and certificate authority of the shared flags.
func newOperatorClient(c *cli.Command) (*client.Operator, error) {
	return newOperatorClientAt(c, flagOperator)
}

// newOperatorClientAt returns a client of the operators' API at the URL in a flag.
func newOperatorClientAt(c *cli.Command, urlFlag string) (*client.Operator, error) {
	base := c.String(urlFlag)
	if base == "" || c.String(flagKeyFile) == "" {
		return nil, errorf(c.Name, ErrUsage, "--%s and --%s are required", urlFlag, flagKeyFile)
	}
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || (u.Scheme != "https" && u.Scheme != "http") {
		return nil, errorf(c.Name, ErrUsage, "--%s: %q is not an http or https URL", urlFlag, base)
	}
	if u.Scheme == "http" && !isLoopback(u.Hostname()) {
		return nil, errorf(c.Name, ErrUsage, "--%s: %s would send the key unencrypted, use https", urlFlag, base)
	}
	key, err := os.ReadFile(c.String(flagKeyFile))
	if err != nil {
		return nil, errorf(c.Name, ErrFile, "--%s: %w", flagKeyFile, err)
	}
	h, err := newHTTPClient(c)
	if err != nil {
		return nil, err
	}
	return client.NewOperator(base, string(bytes.TrimSpace(key)), h), nil
}

func isLoopback(host string) bool {
	a, err := netip.ParseAddr(host)
	return host == "localhost" || err == nil && a.IsLoopback()
}

func newHTTPClient(c *cli.Command) (*http.Client, error) {
	h := &http.Client{
		Timeout: c.Duration(flagTimeout),
		// A redirect would send the key to another address.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	file := c.String(flagCAFile)
	if file == "" {
		return h, nil
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, errorf(c.Name, ErrFile, "--%s: %w", flagCAFile, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, errorf(c.Name, ErrFile, "--%s: %s contains no certificate", flagCAFile, file)
	}
	h.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}
	return h, nil
}
